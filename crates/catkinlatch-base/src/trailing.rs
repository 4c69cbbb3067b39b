//! Decoding of a set at the end of a record that earlier releases wrote without it.

use serde::{
    Deserialize, Deserializer,
    de::{SeqAccess, Visitor},
};
use std::{cell::Cell, collections::BTreeSet, fmt, marker::PhantomData};

/// Decodes a set. A record that ends before the set yields an empty one.
///
/// For formats without field names, such as `bincode`, where the set is the last field.
///
/// # Errors
///
/// Returns the decoder's error if the set begins and is incomplete or invalid.
pub fn deserialize<'de, D, T>(decoder: D) -> Result<BTreeSet<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Ord,
{
    let has_begun = Cell::new(false);
    match decoder.deserialize_seq(Set { has_begun: &has_begun, element: PhantomData }) {
        Err(_) if !has_begun.get() => Ok(BTreeSet::new()),
        set => set,
    }
}

struct Set<'a, T> {
    /// Whether the length of the set was decoded.
    has_begun: &'a Cell<bool>,
    element: PhantomData<T>,
}

impl<'de, T: Deserialize<'de> + Ord> Visitor<'de> for Set<'_, T> {
    type Value = BTreeSet<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a set")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        self.has_begun.set(true);
        let mut set = BTreeSet::new();
        while let Some(element) = sequence.next_element()? {
            set.insert(element);
        }
        Ok(set)
    }
}

//! Decoding of the evacuated zones, which snapshots of earlier releases do not contain.

use catkinlatch_base::ZoneId;
use serde::{
    Deserializer,
    de::{SeqAccess, Visitor},
};
use std::{cell::Cell, collections::BTreeSet, fmt};

/// Decodes a set of zones. A snapshot that ends before the set yields an empty one.
///
/// # Errors
///
/// Returns the decoder's error if the set begins and is incomplete or invalid.
pub fn deserialize<'de, D: Deserializer<'de>>(decoder: D) -> Result<BTreeSet<ZoneId>, D::Error> {
    let has_begun = Cell::new(false);
    match decoder.deserialize_seq(Zones { has_begun: &has_begun }) {
        Err(_) if !has_begun.get() => Ok(BTreeSet::new()),
        zones => zones,
    }
}

struct Zones<'a> {
    /// Whether the length of the set was decoded.
    has_begun: &'a Cell<bool>,
}

impl<'de> Visitor<'de> for Zones<'_> {
    type Value = BTreeSet<ZoneId>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a set of zones")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        self.has_begun.set(true);
        let mut zones = BTreeSet::new();
        while let Some(zone) = sequence.next_element()? {
            zones.insert(zone);
        }
        Ok(zones)
    }
}

//! Settings that must be equal on all hosts, compared when two nodes meet.

use super::Settings;
use catkinlatch_base::derive_value;
use serde::Serialize;
use sha2::{Digest, Sha256};

/// The settings on whose equality the leases rest; nodes that differ in them refuse each other.
const TIMING: &[&str] = &["beat_ms", "lease_ms", "drift_margin_ms", "configuration_lease_ms"];

derive_value! {
    /// Digests of the settings that must be equal on all hosts; secrets are not among them.
    #[derive(Eq)]
    pub struct Agreement {
        items: Vec<Item>,
    }
}

derive_value! {
    /// The digest of one setting.
    #[derive(Eq)]
    struct Item {
        name: String,
        digest: u64,
    }
}

impl Agreement {
    /// Digests the settings that must be equal.
    pub(super) fn new(settings: &Settings) -> Self {
        let s = settings;
        let items = vec![
            item("cluster", &s.cluster),
            item("peers", &s.peers),
            item("initial_voters", &s.initial_voters),
            item("beat_ms", &s.beat_ms),
            item("lease_ms", &s.lease_ms),
            item("drift_margin_ms", &s.drift_margin_ms),
            item("configuration_lease_ms", &s.configuration_lease_ms),
            item("repair_after_ms", &s.repair_after_ms),
            item("platform", &s.platform),
            item("weight_store", &s.weight_store),
            item("usage_window_ms", &s.usage_window_ms),
            item("address_time_to_live_ms", &s.address_time_to_live_ms),
            item("stream_grace_ms", &s.stream_grace_ms),
        ];
        Self { items }
    }

    /// Returns one digest of the settings on whose equality the leases rest.
    pub fn timing_digest(&self) -> [u8; 32] {
        let timing: Vec<&Item> =
            self.items.iter().filter(|item| TIMING.contains(&item.name.as_str())).collect();
        let text = serde_json::to_vec(&timing).expect("digests serialize");
        Sha256::digest(&text).into()
    }

    /// Returns the names of the settings that differ from those of another node.
    pub fn differences(&self, other: &Self) -> Vec<String> {
        let mut names: Vec<String> = [(self, other), (other, self)]
            .into_iter()
            .flat_map(|(one, two)| one.items.iter().filter(|item| !two.items.contains(item)))
            .map(|item| item.name.clone())
            .collect();
        names.sort();
        names.dedup();
        names
    }
}

fn item(name: &str, value: &impl Serialize) -> Item {
    let text = serde_json::to_vec(value).expect("settings serialize");
    let [a, b, c, d, e, f, g, h, ..] = <[u8; 32]>::from(Sha256::digest(&text));
    Item { name: name.to_owned(), digest: u64::from_be_bytes([a, b, c, d, e, f, g, h]) }
}

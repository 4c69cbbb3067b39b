//! Digests of the settings that must be equal on all hosts, compared when a session opens.

use super::Settings;
use catkinlatch_base::derive_value;
use serde::Serialize;
use sha2::{Digest, Sha256};

/// The settings that must be equal for the leases to be safe; nodes that differ in them refuse
/// sessions with each other.
const TIMING_SETTINGS: &[&str] =
    &["beat_ms", "lease_ms", "drift_margin_ms", "configuration_lease_ms"];

derive_value! {
    /// Digests of the settings that must be equal on all hosts; secrets are left out.
    #[derive(Eq)]
    pub struct SharedDigests {
        items: Vec<SettingDigest>,
    }
}

derive_value! {
    /// The digest of one setting.
    #[derive(Eq)]
    struct SettingDigest {
        name: String,
        digest: u64,
    }
}

impl SharedDigests {
    /// Computes the digests.
    pub(super) fn new(settings: &Settings) -> Self {
        let s = settings;
        let items = vec![
            setting_digest("cluster", &s.cluster),
            setting_digest("peers", &s.peers),
            setting_digest("initial_voters", &s.initial_voters),
            setting_digest("beat_ms", &s.beat_ms),
            setting_digest("lease_ms", &s.lease_ms),
            setting_digest("drift_margin_ms", &s.drift_margin_ms),
            setting_digest("configuration_lease_ms", &s.configuration_lease_ms),
            setting_digest("repair_after_ms", &s.repair_after_ms),
            setting_digest("platform", &s.platform),
            setting_digest("weight_store", &s.weight_store),
            setting_digest("usage_window_ms", &s.usage_window_ms),
            setting_digest("address_time_to_live_ms", &s.address_time_to_live_ms),
            setting_digest("stream_grace_ms", &s.stream_grace_ms),
        ];
        Self { items }
    }

    /// Returns a combined digest of the settings that must be equal for the leases to be safe.
    pub fn timing_digest(&self) -> [u8; 32] {
        let digests: Vec<&SettingDigest> = self
            .items
            .iter()
            .filter(|item| TIMING_SETTINGS.contains(&item.name.as_str()))
            .collect();
        let text = serde_json::to_vec(&digests).expect("digests serialize");
        Sha256::digest(&text).into()
    }

    /// Returns the names of the settings that differ from those of another node, sorted.
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

fn setting_digest(name: &str, value: &impl Serialize) -> SettingDigest {
    let text = serde_json::to_vec(value).expect("settings serialize");
    let [a, b, c, d, e, f, g, h, ..] = <[u8; 32]>::from(Sha256::digest(&text));
    SettingDigest { name: name.to_owned(), digest: u64::from_be_bytes([a, b, c, d, e, f, g, h]) }
}

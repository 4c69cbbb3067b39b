//! Applies the evacuated zones of the replicated state to the registry of targets.

use crate::host::Host;
use std::sync::Arc;

/// Shows the targets of evacuated zones as evacuated, and those of restored zones as ready again.
pub fn apply(host: &Host) {
    let zones = host.replica.read(|state| state.evacuated.clone());
    metrics::gauge!("catkinlatch_evacuated_zones").set(zones.len() as f64);
    let has_changed = {
        let mut soft = host.soft_state();
        if *soft.registry.evacuated() == zones {
            return;
        }
        let has_changed = soft.registry.set_evacuated(&zones, host.clock.now());
        soft.revision += u64::from(has_changed);
        has_changed
    };
    if has_changed {
        host.publish_revision();
    }
}

/// Applies the zones whenever the replicated state changes, whether or not this host leads, so that
/// a new leader starts with them; never returns.
pub async fn watch(host: Arc<Host>) {
    let mut applied = host.replica.applied();
    loop {
        applied.mark_unchanged();
        apply(&host);
        if applied.changed().await.is_err() {
            return;
        }
    }
}

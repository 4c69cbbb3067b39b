//! Identities of hosts that start at the same moment, at which the clock seeds their generators
//! alike.

use catkinlatch_base::Incarnation;
use catkinlatch_runtime::{Peers, Settings, replica};
use serde_json::json;

/// Returns what `start` draws if the clock seeds the generator of its thread like that of another
/// host.
fn at_the_same_moment(start: impl Fn() -> Incarnation) -> [Incarnation; 2] {
    [(); 2].map(|()| {
        fastrand::seed(1);
        start()
    })
}

/// Guards against hosts that drop each other's messages as their own, so that no leader is elected.
#[test]
fn hosts_that_start_at_the_same_moment_have_different_identities_in_the_log() {
    let identity = || {
        let folder = tempfile::tempdir().unwrap();
        replica::open(folder.path()).unwrap().identity
    };
    let [one, other] = at_the_same_moment(identity);
    assert_ne!(one, other);
}

/// Guards against processes that take the session of one for that of another.
#[test]
fn processes_that_start_at_the_same_moment_have_different_incarnations() {
    let settings = json!({
        "name": "host-1", "host": "127.0.0.1", "zone": "zone", "region": "region",
        "peer_port": 1, "seeds": [], "is_first_start": true, "losses": 1,
        "times": {
            "heartbeat_ms": 300, "drain_ms": 2000, "grace_s": 3, "lease_ms": 1000,
            "report_window_s": 1, "report_due_s": 5, "results_kept_s": 120, "cancel_ms": 3000,
            "apply_ms": 2000, "address_ttl_s": 5, "ack_ms": 5000, "evacuate_ms": 5000
        }
    });
    let settings: Settings = serde_json::from_value(settings).unwrap();
    let [one, other] = at_the_same_moment(|| Peers::new(&settings).local().incarnation);
    assert_ne!(one, other);
}

//! Waits that are derived from the times of a deployment.

use catkinlatch_runtime::settings::{Settings, Times, Waits};
use serde_json::{Value, json};
use std::{io::Write as _, time::Duration};
use test_case::test_case;

fn times(apply_ms: u64, ack_ms: Option<u64>, evacuate_ms: Option<u64>) -> Value {
    json!({
        "heartbeat_ms": 300, "drain_ms": 2000, "grace_s": 3, "lease_ms": 1000,
        "report_window_s": 1, "report_due_s": 5, "results_kept_s": 120, "cancel_ms": 3000,
        "apply_ms": apply_ms, "address_ttl_s": 5, "ack_ms": ack_ms, "evacuate_ms": evacuate_ms,
    })
}

fn waits(apply_ms: u64, ack_ms: Option<u64>) -> (Times, Waits) {
    let times: Times = serde_json::from_value(times(apply_ms, ack_ms, None)).expect("valid");
    let waits = times.waits();
    (times, waits)
}

/// Guards against waits that grow with `apply_ms`, and against other loads on the leader than
/// before where it is 2,000 or more.
#[test]
fn waits_are_the_same_from_the_design_time_on() {
    let (_, design) = waits(2_000, Some(4_000));
    assert_eq!(design, waits(10_000, None).1);
    assert_eq!(
        (design.poll, design.contact),
        (Duration::from_millis(500), Duration::from_millis(1_400))
    );
}

/// Guards against a host that counts as out of touch before it can have noticed a lost leader, and
/// against a host that notices it later than a change must be in force.
#[test_case(400, None; "shortest")]
#[test_case(1_000, Some(4_000); "short")]
#[test_case(2_000, Some(4_000); "users' machines")]
#[test_case(2_000, Some(5_000); "large sites")]
#[test_case(5_000, None; "long")]
fn waits_fit_into_the_times_they_guard(apply_ms: u64, ack_ms: Option<u64>) {
    let (times, waits) = waits(apply_ms, ack_ms);
    assert_eq!(waits.contradictions(&times), Vec::<String>::new());
    assert!(waits.silence < waits.renewal);
    assert!(waits.poll + waits.renewal < waits.contact);
    assert!(waits.contact < Duration::from_millis(apply_ms));
    assert!(waits.propagation < Duration::from_millis(ack_ms.unwrap_or(4_000)));
}

#[test_case(times(300, None, None), "apply_ms"; "apply")]
#[test_case(times(2_000, Some(2_000), None), "ack_ms"; "ack")]
#[test_case(times(2_000, None, Some(1_000)), "evacuate_ms"; "evacuate")]
fn settings_whose_times_cannot_be_kept_are_refused(times: Value, name: &str) {
    let settings = json!({
        "name": "entry-1", "host": "127.0.0.1", "zone": "zone-a", "region": "region",
        "callers_address": "127.0.0.1:80", "ready_address": "127.0.0.1:81", "peer_port": 82,
        "seeds": ["127.0.0.2:83"], "is_first_start": true, "losses": 1, "times": times,
    });
    let mut file = tempfile::NamedTempFile::new().expect("a file can be created");
    file.write_all(settings.to_string().as_bytes()).expect("the file can be written");
    let error = Settings::load(file.path()).expect_err("the settings contradict each other");
    assert!(error.findings.iter().any(|finding| finding.contains(name)), "{error}");
}

//! Which entry hosts must hold a change before it is acknowledged.

use catkinlatch_base::{HostId, Incarnation, Instant, Term};
use catkinlatch_runtime::message::{Entry, Follow, Role, View, ViewVersion};
use catkinlatch_store::soft_state::SoftState;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(700);

fn entry(name: &str) -> Entry {
    let host: HostId = name.parse().expect("the id is valid");
    let zone = "zone-a".parse().expect("the id is valid");
    Entry { address: format!("{host}:80"), host, zone, is_ready: true }
}

fn follow(name: &str, view_version: ViewVersion, version: u64) -> Follow {
    Follow {
        host: entry(name).host,
        name: name.to_owned(),
        incarnation: Incarnation::new(1),
        role: Role::Entry(entry(name)),
        view_version,
        version: Some(version),
        wait_ms: 500,
        counts: Vec::new(),
    }
}

fn adopted(names: &[&str], now: Instant) -> SoftState {
    let view = View {
        view_version: ViewVersion { term: Term::new(3), revision: 9 },
        configuration: None,
        targets: Vec::new(),
        tombstones: Vec::new(),
        entries: names.iter().map(|name| entry(name)).collect(),
        stores: Vec::new(),
    };
    let mut soft = SoftState::default().with_follower_timeout(TIMEOUT);
    soft.adopt(&view, now);
    soft
}

/// Guards against a new leader that acknowledges a change at once, while hosts still wait for the
/// answer of its predecessor.
#[test]
fn a_new_leader_waits_for_hosts_that_polled_its_predecessor() {
    let start = Instant::from_millis(10_000);
    let mut soft = adopted(&["10.0.0.1", "10.0.0.2"], start);
    let current = ViewVersion { term: Term::new(4), revision: 1 };
    assert!(soft.has_followers());
    assert!(!soft.is_propagated(current, Some(7)));
    soft.update_follower(&follow("10.0.0.1", current, 7), start);
    assert!(!soft.is_propagated(current, Some(7)), "the second host has not polled");
    let old = ViewVersion { term: Term::new(3), revision: 9 };
    soft.update_follower(&follow("10.0.0.2", old, 7), start);
    assert!(!soft.is_propagated(current, Some(7)), "the second host holds an older view");
    soft.update_follower(&follow("10.0.0.2", current, 6), start);
    assert!(!soft.is_propagated(current, Some(7)), "the second host holds an older version");
    soft.update_follower(&follow("10.0.0.2", current, 7), start);
    assert!(soft.is_propagated(current, Some(7)));
}

/// Guards against an acknowledgement that waits forever for a host that is out of touch.
#[test]
fn a_silent_host_is_waited_for_until_it_is_out_of_touch() {
    let start = Instant::from_millis(10_000);
    let mut soft = adopted(&["10.0.0.1"], start);
    let current = ViewVersion { term: Term::new(4), revision: 1 };
    assert!(soft.expire(start + (TIMEOUT - Duration::from_millis(1))).is_empty());
    assert!(!soft.is_propagated(current, Some(7)));
    assert_eq!(soft.expire(start + TIMEOUT), [entry("10.0.0.1").host]);
    assert!(soft.is_propagated(current, Some(7)));
    assert!(!soft.has_followers());
}

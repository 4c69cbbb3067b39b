//! Tests which entry hosts the directory may name.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{HostId, Instant};
use catkinlatch_entry::contact::Contact;
use std::time::Duration;

const CONTACT: Option<Duration> = Some(Duration::from_secs(4));

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

fn host(number: usize) -> HostId {
    format!("10.0.0.{number}").parse().unwrap()
}

/// Guards against hosts that the directory names for long after they were killed, since no leader
/// is left that could say so.
#[test]
fn hosts_of_the_last_view_are_named_for_a_bounded_time_after_the_leader_is_silent() {
    let mut contact = Contact::default();
    assert!(!contact.is_running(&host(1), CONTACT, at(0)), "nothing is known of it");
    contact.record_leader(at(1_000));
    assert!(contact.is_running(&host(1), CONTACT, at(5_999)));
    // The leader takes 1.4 s to notice, so the host may have been killed at -400 ms.
    assert!(!contact.is_running(&host(1), CONTACT, at(6_000)));
    assert!(contact.is_running(&host(1), None, at(60_000)), "without the setting, as before");
}

/// Guards against a directory that names no other host although all run, and against a probe that
/// counts for longer than the word of the leader.
#[test]
fn hosts_that_accept_a_connection_are_named_while_the_leader_is_silent() {
    let mut contact = Contact::default();
    contact.record_leader(at(1_000));
    contact.record_host(host(1), at(5_000));
    assert!(contact.is_running(&host(1), CONTACT, at(9_999)));
    assert!(!contact.is_running(&host(2), CONTACT, at(9_999)));
    assert!(!contact.is_running(&host(1), CONTACT, at(10_000)));
}

/// Guards against probes while a leader answers, and against hosts of a large site that are never
/// probed.
#[test]
fn hosts_are_probed_in_turn_while_the_leader_is_silent() {
    let mut contact = Contact::default();
    let hosts: Vec<HostId> = (1..=5).map(host).collect();
    assert!(contact.next_probes(&hosts, 2, at(0)).is_empty(), "there was no view yet");
    contact.record_leader(at(0));
    assert!(contact.next_probes(&hosts, 2, at(1_499)).is_empty());
    let rounds: Vec<Vec<HostId>> =
        (0..3).map(|_| contact.next_probes(&hosts, 2, at(1_500))).collect();
    assert_eq!(rounds, [[host(1), host(2)], [host(3), host(4)], [host(5), host(1)]]);
    assert_eq!(contact.next_probes(&hosts[..2], 16, at(1_500)).len(), 2);
}

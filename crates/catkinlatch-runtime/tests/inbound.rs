//! Which clients are ended so that all together stay within the limits of a process.

use catkinlatch_runtime::{
    http::inbound::{Ended, How, Key, Limits, SWEEP_INTERVAL, Table},
    settings::Resources,
};
use std::time::Duration;
use test_case::test_case;

const MIB: usize = 1 << 20;

fn limits() -> Limits {
    let resources =
        Resources { memory_mb: Some(100), descriptors: Some(212), ..Default::default() };
    Limits::new(&resources).with_bytes(10 * MIB)
}

/// Opens a connection on which a body arrives.
fn send(table: &mut Table, bytes: usize) -> Key {
    let (key, _) = table.open();
    table.receive_head(key, 100);
    table.begin(key);
    assert!(table.receive_body(key, bytes).is_empty());
    key
}

fn refused(key: Key) -> Ended {
    Ended { key, how: How::Refuse, limit: "memory" }
}

fn closed(key: Key, limit: &'static str) -> Ended {
    Ended { key, how: How::Close, limit }
}

/// Guards against clients that stop short of their end and so keep the memory from others.
#[test]
fn slow_requests_are_ended_before_newer_ones_that_progress() {
    let mut table = Table::new(limits());
    let (slow, slower) = (send(&mut table, 2 * MIB), send(&mut table, 3 * MIB));
    let steady = send(&mut table, 0);
    for sweep in 1..=3 {
        table.receive_body(steady, sweep * MIB);
        assert!(table.sweep().is_empty());
    }
    let newest = send(&mut table, MIB);
    assert_eq!(table.receive_body(newest, 3 * MIB), [refused(slower)]);
    assert_eq!(table.receive_body(newest, 6 * MIB), [refused(slow)]);
    assert_eq!(table.receive_body(newest, 8 * MIB), [refused(newest)], "it is the newest");
    assert_eq!(table.receive_body(newest, 8 * MIB), [refused(newest)], "it was ended");
}

/// Guards against small requests, which are always the newest, that make room for large ones.
#[test]
fn a_small_request_passes_beside_large_ones() {
    let mut table = Table::new(limits());
    let (older, newer) = (send(&mut table, 5 * MIB), send(&mut table, 4 * MIB));
    let small = send(&mut table, 60 << 10);
    assert_eq!(table.receive_body(older, 6 * MIB), [refused(newer)]);
    let whole = table.complete(small);
    assert_eq!(table.total_bytes(), 6 * MIB + (60 << 10) + 2 * 200);
    table.remove(whole);
}

/// Guards against whole bodies that are ended while their request runs, and memory that is not
/// released with them.
#[test]
fn a_whole_body_counts_until_it_is_dropped_and_is_not_ended() {
    let mut table = Table::new(limits());
    let first = send(&mut table, 9 * MIB);
    let whole = table.complete(first);
    let second = send(&mut table, 0);
    assert_eq!(table.receive_body(second, 2 * MIB), [refused(second)]);
    table.remove(whole);
    table.discard(second);
    let third = send(&mut table, 0);
    assert!(table.receive_body(third, 9 * MIB).is_empty());
    [first, second, third].into_iter().for_each(|key| table.remove(key));
    assert_eq!(table.total_bytes(), 0);
}

/// Guards against a single request within the configured limits that is refused in calm.
#[test]
fn the_only_large_request_may_exceed_the_memory_of_all() {
    let mut table = Table::new(limits());
    let first = send(&mut table, 0);
    assert!(table.receive_body(first, 32 * MIB).is_empty());
    let second = send(&mut table, 0);
    assert_eq!(table.receive_body(second, MIB), [refused(second)]);
}

/// Guards against silent connections that keep out callers.
#[test]
fn silent_connections_make_room_first_then_slow_requests_then_idle_connections() {
    let mut table = Table::new(limits());
    let most = limits().connections;
    assert_eq!(most, 9, "three quarters of the descriptors that are not for files");
    let idle = table.open().0;
    table.receive_head(idle, 100);
    table.begin(idle);
    table.finish(idle);
    let slow = send(&mut table, 10);
    table.sweep();
    table.sweep();
    let silent = table.open().0;
    let busy: Vec<Key> = (3..most).map(|_| table.open().0).collect();
    for key in busy {
        table.receive_head(key, 100);
        table.begin(key);
    }
    let mut next = || {
        let (key, ended) = table.open();
        table.receive_head(key, 100);
        table.begin(key);
        (key, ended)
    };
    assert_eq!(next().1, Some(closed(silent, "connections")));
    assert_eq!(next().1, Some(closed(slow, "connections")));
    assert_eq!(next().1, Some(closed(idle, "connections")));
    let (key, ended) = next();
    assert_eq!(ended, Some(closed(key, "connections")), "all others are busy");
}

#[test_case(false, Duration::from_secs(15), "idle"; "between two requests")]
#[test_case(true, Duration::from_secs(3), "head"; "within a head")]
fn a_client_is_closed_after_its_time(has_begun: bool, time: Duration, limit: &'static str) {
    let mut table = Table::new(limits());
    let key = table.open().0;
    if has_begun {
        table.receive_head(key, 100);
    }
    let mut sweeps = 0;
    let ended = loop {
        sweeps += 1;
        if has_begun {
            table.receive_head(key, 1);
        }
        let ended = table.sweep();
        if !ended.is_empty() {
            break ended;
        }
    };
    assert_eq!(ended, [closed(key, limit)]);
    let after = SWEEP_INTERVAL * sweeps;
    assert!(after > time && after <= time + 2 * SWEEP_INTERVAL, "{after:?}");
}

/// Guards against heads whose buffers together exceed the memory of requests.
#[test]
fn the_newest_head_is_closed_if_all_take_too_much() {
    let mut table = Table::new(limits());
    let mut ended = Vec::new();
    for _ in 0..9 {
        let key = table.open().0;
        ended.extend(table.receive_head(key, MIB));
    }
    assert!(table.total_bytes() <= 10 * MIB);
    assert_eq!(ended.len(), 4);
    assert!(ended.iter().all(|ended| (ended.how, ended.limit) == (How::Close, "memory")));
}

/// Guards against decoded jobs, which take several times their bodies.
#[test]
fn memory_for_decoding_is_claimed_beside_bodies() {
    let mut table = Table::new(limits());
    let [first, second] = [0, 1].map(|_| {
        let key = send(&mut table, 3 * MIB);
        table.complete(key)
    });
    let (claim, _) = table.claim(9 * MIB);
    assert_eq!(claim, None, "beside another whole body");
    assert_eq!(table.total_bytes(), 6 * MIB + 2 * 200);
    let (small, _) = table.claim(10 << 10);
    [small.expect("a small one passes"), second].into_iter().for_each(|key| table.remove(key));
    assert!(table.claim(9 * MIB).0.is_some(), "of the only large request");
    table.remove(first);
}

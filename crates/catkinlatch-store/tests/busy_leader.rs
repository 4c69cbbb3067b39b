//! A leader of hundreds of hosts whose time is short: what it does once for all, and what it does
//! not hold against others.

use bytes::Bytes;
use catkinlatch_base::{HostId, Incarnation, Instant, TargetId, Term};
use catkinlatch_ledger::{Target, registry::Phase};
use catkinlatch_runtime::message::{Entry, Follow, Role, View, ViewVersion};
use catkinlatch_store::{
    pace::pause_after_pass,
    soft_state::SoftState,
    view::{EncodedView, Key},
};
use std::{collections::BTreeMap, time::Duration};

const FOLLOWERS: u64 = 271;
const POLL_MS: u64 = 500;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn follow(number: u64) -> Follow {
    let host: HostId = id(&format!("10.0.{}.{}", number / 200, number % 200 + 1));
    let address = format!("{host}:8689");
    let entry = Entry { host: host.clone(), zone: id("zone-a"), address, is_ready: true };
    Follow {
        name: format!("front-{number}"),
        host,
        incarnation: Incarnation::new(u128::from(number) + 1),
        role: Role::Entry(entry),
        view_version: ViewVersion::default(),
        version: None,
        wait_ms: POLL_MS,
        counts: Vec::new(),
    }
}

fn target(name: &str) -> Target {
    Target {
        id: id(name),
        born_ms: 1,
        sequence: 1,
        service: id("drafts"),
        address: "10.1.0.1:8000".to_owned(),
        zone: id("zone-a"),
        slots: 6,
        phase: Phase::Ready,
        cold_ms: 0,
        build: Default::default(),
        rate: None,
        is_spot: false,
        models: BTreeMap::new(),
    }
}

#[test]
fn followers_that_a_busy_leader_could_not_hear_are_not_silent() {
    let mut soft = SoftState::default();
    let start = Instant::from_millis(10_000);
    for number in 0..FOLLOWERS {
        soft.update_follower(&follow(number), start);
    }
    soft.registry.register(target("engine-1"), start);
    let busy = Duration::from_secs(3);
    let mut now = start + Duration::from_millis(POLL_MS) + busy;
    soft.forgive(busy);
    assert!(soft.expire(now).is_empty(), "the leader did not run, the followers did");
    assert!(soft.registry.expire(Duration::from_secs(2), now).is_empty());
    for number in 1..FOLLOWERS {
        soft.update_follower(&follow(number), now);
    }
    now += Duration::from_millis(1_200);
    let silent = vec![follow(0).host];
    assert_eq!(soft.expire(now), silent, "a host that is silent while the leader runs is dropped");
    now += Duration::from_millis(500);
    let dropped = soft.registry.expire(Duration::from_secs(2), now);
    assert_eq!(dropped.iter().map(|t| t.id.clone()).collect::<Vec<TargetId>>(), [id("engine-1")]);
}

#[test]
fn a_view_is_encoded_once_for_all_followers() {
    let mut encoded = EncodedView::default();
    let mut created = 0;
    let mut get = |revision: u64, configuration: Option<u64>| -> Bytes {
        let view_version = ViewVersion { term: Term::new(2), revision };
        encoded.get(Key { view_version, configuration }, || {
            created += 1;
            View {
                view_version,
                configuration: None,
                targets: vec![target("engine-1")],
                tombstones: Vec::new(),
                entries: Vec::new(),
                stores: Vec::new(),
            }
        })
    };
    for revision in 1..=10 {
        let first = get(revision, None);
        for follower in 0..FOLLOWERS {
            // One in ten also lacks the configuration.
            let configuration = (follower % 10 == 0).then_some(7);
            let answer = get(revision, configuration);
            assert_eq!(answer, first, "the same content, whoever asks");
        }
    }
    assert_eq!(created, 20, "two answers for each revision");
}

/// Plays ends of runs against passes that take a fixed time each, and returns the share of the time
/// spent in passes and the longest wait of an end for its pass.
fn play(ends_per_second: u64, pass: Duration) -> (f64, Duration) {
    let end_at = |number: u64| Duration::from_micros(number * 1_000_000 / ends_per_second);
    let total = Duration::from_secs(20);
    let (mut now, mut busy, mut longest) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut next = 0;
    while now < total {
        now = now.max(end_at(next));
        longest = longest.max(now - end_at(next));
        while end_at(next) <= now {
            next += 1;
        }
        now += pass + pause_after_pass(pass);
        busy += pass;
    }
    (busy.as_secs_f64() / now.as_secs_f64(), longest)
}

#[test]
fn passes_take_a_bounded_share_of_the_time_however_many_runs_end() {
    let (share, wait) = play(800, Duration::from_millis(3));
    assert!(share < 0.25, "{share}");
    assert!(wait < Duration::from_millis(20), "{wait:?}");
    let (share, wait) = play(800, Duration::from_millis(100));
    assert!(share < 0.25, "a fleet in which a pass takes long: {share}");
    assert!(wait < Duration::from_millis(600), "{wait:?}");
    let (share, wait) = play(20, Duration::from_micros(200));
    assert!(share < 0.01 && wait < Duration::from_millis(2), "{share} {wait:?}");
}

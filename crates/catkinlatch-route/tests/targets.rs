//! Tests of the target table: repeated announcements, and late ones from earlier boots.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{Instant, ZoneId};
use catkinlatch_route::{
    Announcement, Ramp, Table,
    target::{Role, Selector},
};
use std::{collections::BTreeSet, time::Duration};

fn announcement(boot: &str) -> Announcement {
    Announcement {
        id: "engine-1".parse().unwrap(),
        boot: boot.parse().unwrap(),
        role: Role::Engine { model: "draft".parse().unwrap(), version: Default::default() },
        zone: "zone-a".parse().unwrap(),
        address: "10.0.0.1:80".to_owned(),
        slots: 8,
        price_class: "full".to_owned(),
        checks_fencing: true,
    }
}

fn boots(table: &Table) -> Vec<String> {
    table.entries().map(|(_, entry)| entry.announcement.boot.to_string()).collect()
}

#[test]
fn a_repeated_announcement_adds_no_second_entry() {
    let mut table = Table::new();
    assert!(table.announce(announcement("boot-1"), Instant::ZERO));
    assert!(!table.announce(announcement("boot-1"), Instant::ZERO));
    assert_eq!(boots(&table), ["boot-1"]);
}

#[test]
fn an_earlier_boot_neither_replaces_nor_removes_a_later_one() {
    let mut table = Table::new();
    table.announce(announcement("boot-1"), Instant::ZERO);
    assert!(table.announce(announcement("boot-2"), Instant::ZERO));
    assert!(!table.announce(announcement("boot-1"), Instant::ZERO));
    assert_eq!(boots(&table), ["boot-2"]);
    table.withdraw(&"engine-1".parse().unwrap(), &"boot-1".parse().unwrap());
    assert_eq!(boots(&table), ["boot-2"]);
}

#[test]
fn a_withdrawn_target_gets_no_requests() {
    let mut table = Table::new();
    table.announce(announcement("boot-1"), Instant::ZERO);
    table.withdraw(&"engine-1".parse().unwrap(), &"boot-1".parse().unwrap());
    assert!(!table.announce(announcement("boot-1"), Instant::ZERO));
    let selector = Selector::Engine("draft".parse().unwrap());
    assert!(table.choose(&selector, &[], Instant::ZERO).is_none());
}

fn zones(names: &[&str]) -> BTreeSet<ZoneId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

/// Guards against requests to targets of an evacuated zone, known before or announced later, and
/// against their slots being counted.
#[test]
fn targets_of_an_evacuated_zone_get_no_requests_until_it_is_restored() {
    let mut table = Table::new();
    let selector = Selector::Engine("draft".parse().unwrap());
    table.announce(announcement("boot-1"), at(0));
    table.set_evacuated(&zones(&["zone-a"]), at(0));
    table.announce(announcement("boot-2"), at(0));
    assert!(table.choose(&selector, &[], at(0)).is_none());
    assert_eq!(table.slots(&selector, at(0)), 0);
    table.set_evacuated(&zones(&["zone-b"]), at(0));
    let key = table.choose(&selector, &[], at(0)).unwrap();
    table.begin(key);
    assert!(table.choose(&selector, &[], at(0)).is_none(), "one slot at first");
    assert_eq!([0, 3_000].map(|ms| table.slots(&selector, at(ms))), [1, 8]);
    assert!(table.choose(&selector, &[], at(3_000)).is_some());
}

/// Guards against a zone's targets getting all that waits for them at the moment of its return.
#[test]
fn slots_of_a_restored_zone_grow_from_one_to_all_in_three_seconds() {
    let (mut ramp, zone) = (Ramp::default(), "zone-a".parse().unwrap());
    ramp.observe(&zones(&["zone-a"]), at(0));
    ramp.observe(&zones(&[]), at(0));
    let slots = [0, 499, 500, 1_500, 2_999, 3_000].map(|ms| ramp.slots(&zone, 7, at(ms)));
    assert_eq!(slots, [1, 1, 2, 4, 6, 7]);
    let admits = |load, random| ramp.admits(&zone, 7, load, random, at(0));
    assert!(admits(0, 0.1) && !admits(1, 0.1) && !admits(0, 0.2), "one of seven slots");
    ramp.observe(&zones(&["zone-b"]), at(4_000));
    assert_eq!(ramp.slots(&zone, 7, at(4_000)), 7);
}

//! Tests of the target table: repeated announcements, and late ones from earlier boots.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::Instant;
use catkinlatch_route::{
    Announcement, Table,
    target::{Role, Selector},
};

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

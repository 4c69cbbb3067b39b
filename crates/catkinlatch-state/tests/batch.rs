//! Tests of batch ledgers: each sample is delivered at most once.

use catkinlatch_base::{BatchNumber, Epoch, GroupNumber, HostId, Incarnation, TrainerId, Version};
use catkinlatch_state::batch::{Admission, Batch, Change, Ledgers, Reply, Sample};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeSet;
use test_case::test_case;

const MAX_AGE_VERSIONS: u64 = 2;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn trainer() -> TrainerId {
    id("defects")
}

struct Fixture {
    ledgers: Ledgers,
    epoch: Epoch,
}

impl Fixture {
    fn new(groups: u64) -> Self {
        let mut fixture = Self { ledgers: Ledgers::default(), epoch: Epoch::default() };
        fixture.assign();
        fixture.publish(5);
        for group in 0..groups {
            fixture.admit(group);
        }
        fixture
    }

    fn assign(&mut self) {
        let (host, incarnation): (HostId, _) = (id("host-1"), Incarnation::new(1));
        let change = Change::Assign { trainer: trainer(), after: self.epoch, host, incarnation };
        self.epoch = self.epoch.next();
        assert_eq!(self.ledgers.apply(&change), Reply::Assigned(self.epoch));
    }

    fn publish(&mut self, version: u64) {
        let version = Version::new(version);
        self.ledgers.apply(&Change::Publish { trainer: trainer(), version });
    }

    fn admit(&mut self, group: u64) -> Reply {
        let groups = vec![Admission { id: id(&format!("group-{group}")), samples: 2 }];
        self.ledgers.apply(&Change::Admit { trainer: trainer(), epoch: self.epoch, groups })
    }

    fn commit(&mut self, number: u64, samples: Vec<Sample>) -> Reply {
        self.commit_under(self.epoch, number, samples)
    }

    fn commit_under(&mut self, epoch: Epoch, number: u64, samples: Vec<Sample>) -> Reply {
        let batch = Batch { number: BatchNumber::new(number), samples, holders: Vec::new() };
        let trainer = trainer();
        self.ledgers.apply(&Change::Commit {
            trainer,
            epoch,
            max_age_versions: MAX_AGE_VERSIONS,
            batch,
        })
    }

    fn void(&mut self, number: u64) -> Reply {
        let number = BatchNumber::new(number);
        self.ledgers.apply(&Change::Void { trainer: trainer(), epoch: self.epoch, number })
    }
}

impl Fixture {
    fn lose(&mut self, number: u64) -> Reply {
        let number = BatchNumber::new(number);
        self.ledgers.apply(&Change::Lose { trainer: trainer(), epoch: self.epoch, number })
    }
}

fn sample(group: u64, index: u32, epoch: u64, version: u64) -> Sample {
    let (oldest, newest) = (Version::new(version), Version::new(version));
    let (group, epoch) = (GroupNumber::new(group), Epoch::new(epoch));
    Sample { group, index, epoch, attempt: 0, oldest, newest }
}

fn group(number: u64, epoch: u64, version: u64) -> Vec<Sample> {
    (0..2).map(|index| sample(number, index, epoch, version)).collect()
}

#[test]
fn a_group_is_delivered_once() {
    let mut fixture = Fixture::new(1);
    assert_eq!(fixture.commit(1, group(0, 1, 5)), Reply::Committed);
    assert_eq!(fixture.commit(2, group(0, 1, 5)), Reply::Rejected(group(0, 1, 5)));
}

#[test]
fn a_group_that_was_delivered_is_not_admitted_again() {
    let mut fixture = Fixture::new(1);
    assert_eq!(fixture.admit(0), Reply::Admitted(vec![Some(GroupNumber::new(0))]));
    fixture.commit(1, group(0, 1, 5));
    assert_eq!(fixture.admit(0), Reply::Admitted(vec![None]));
    assert_eq!(fixture.admit(1), Reply::Admitted(vec![Some(GroupNumber::new(1))]));
}

#[test_case(2; "too old")]
#[test_case(6; "never published")]
fn a_sample_outside_the_versions_is_rejected(version: u64) {
    let mut fixture = Fixture::new(1);
    assert_eq!(fixture.commit(1, group(0, 1, version)), Reply::Rejected(group(0, 1, version)));
    assert_eq!(fixture.commit(1, group(0, 1, 3)), Reply::Committed);
}

#[test]
fn a_version_published_before_the_commit_counts() {
    let mut fixture = Fixture::new(1);
    fixture.publish(8);
    assert_eq!(fixture.commit(1, group(0, 1, 5)), Reply::Rejected(group(0, 1, 5)));
}

#[test_case(vec![sample(0, 0, 1, 5)]; "a sample is missing")]
#[test_case(vec![sample(0, 0, 1, 5), sample(0, 0, 1, 5)]; "a sample is duplicated")]
#[test_case([group(0, 1, 5), vec![sample(0, 1, 1, 5)]].concat(); "an extra sample")]
fn a_group_with_missing_or_duplicate_samples_is_rejected(samples: Vec<Sample>) {
    let mut fixture = Fixture::new(1);
    assert_eq!(fixture.commit(1, samples), Reply::Torn(vec![GroupNumber::new(0)]));
}

#[test]
fn a_superseded_coordinator_cannot_commit() {
    let mut fixture = Fixture::new(1);
    let before = fixture.epoch;
    fixture.assign();
    assert_eq!(fixture.commit_under(before, 1, group(0, 1, 5)), Reply::Superseded);
    let (host, incarnation) = (id("host-2"), Incarnation::new(2));
    let late = Change::Assign { trainer: trainer(), after: before, host, incarnation };
    assert!(
        matches!(fixture.ledgers.apply(&late), Reply::Held(held) if held.epoch == fixture.epoch)
    );
}

#[test]
fn a_batch_number_is_committed_once() {
    let mut fixture = Fixture::new(2);
    assert_eq!(fixture.commit(1, group(0, 1, 5)), Reply::Committed);
    let next = BatchNumber::new(2);
    assert_eq!(fixture.commit(1, group(1, 1, 5)), Reply::WrongNumber { next });
    assert_eq!(fixture.commit(3, group(1, 1, 5)), Reply::WrongNumber { next });
}

#[test]
fn samples_of_a_lost_batch_are_not_delivered_again() {
    let mut fixture = Fixture::new(1);
    fixture.commit(1, group(0, 1, 5));
    assert_eq!(fixture.void(1), Reply::Rejected(group(0, 1, 5)), "the holder has the contents");
    fixture.assign();
    assert_eq!(fixture.void(1), Reply::Voided);
    assert_eq!(fixture.commit(2, group(0, 1, 5)), Reply::Rejected(group(0, 1, 5)));
    assert_eq!(fixture.commit(2, group(0, 2, 5)), Reply::Committed);
}

#[test]
fn groups_of_a_lost_batch_run_again_only_if_they_are_posted_again() {
    let mut fixture = Fixture::new(1);
    fixture.commit(1, group(0, 1, 5));
    assert_eq!(fixture.lose(1), Reply::Rejected(group(0, 1, 5)), "the holder has the contents");
    fixture.assign();
    assert_eq!(fixture.lose(2), Reply::WrongNumber { next: BatchNumber::new(2) });
    assert_eq!(fixture.lose(1), Reply::Lost);
    assert_eq!(fixture.lose(1), Reply::Lost, "a repeated change has no effect");
    let ledger = fixture.ledgers.get(&trainer()).expect("the ledger exists");
    assert!(ledger.open().is_empty() && ledger.last().is_some_and(|last| last.lost));
    assert_eq!(fixture.commit(2, group(0, 2, 5)), Reply::Rejected(group(0, 2, 5)));
    assert_eq!(fixture.admit(0), Reply::Admitted(vec![Some(GroupNumber::new(1))]));
    assert_eq!(fixture.commit(2, group(1, 2, 5)), Reply::Committed);
}

#[derive(Clone, Debug)]
enum Step {
    Assign,
    Admit(u64),
    Publish,
    Commit { stale_epoch: bool, number: u64, groups: Vec<u64>, age: u64, sample_epoch: u64 },
    Void,
}

fn step() -> impl Strategy<Value = Step> {
    let commit =
        (any::<bool>(), 0..3_u64, prop::collection::vec(0..12_u64, 1..3), 0..5_u64, 0..3_u64)
            .prop_map(|(stale, number, groups, age, sample_epoch)| Step::Commit {
                stale_epoch: stale,
                number,
                groups,
                age,
                sample_epoch,
            });
    prop_oneof![
        1 => Just(Step::Assign),
        4 => (0..40_u64).prop_map(Step::Admit),
        1 => Just(Step::Publish),
        8 => commit,
        1 => Just(Step::Void),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sample_is_in_two_batches(steps in prop::collection::vec(step(), 1..120)) {
        let mut fixture = Fixture::new(0);
        let mut newest = 5;
        let mut delivered = BTreeSet::new();
        for step in steps {
            match step {
                Step::Assign => fixture.assign(),
                Step::Admit(group) => drop(fixture.admit(group)),
                Step::Publish => {
                    newest += 1;
                    fixture.publish(newest);
                }
                Step::Void => {
                    let ledger = fixture.ledgers.get(&trainer()).expect("the ledger exists");
                    let last = ledger.next_number().get() - 1;
                    fixture.void(last);
                }
                Step::Commit { stale_epoch, number, groups, age, sample_epoch } => {
                    let next = fixture.ledgers.get(&trainer()).map_or(1, |l| l.next_number().get());
                    let under = Epoch::new(fixture.epoch.get() - u64::from(stale_epoch));
                    let of = fixture.epoch.get().saturating_sub(sample_epoch);
                    let samples: Vec<Sample> =
                        groups.iter().flat_map(|g| group(*g, of, newest - age)).collect();
                    let number = (next + 1).saturating_sub(number);
                    let reply = fixture.commit_under(under, number, samples.clone());
                    if reply == Reply::Committed {
                        prop_assert!(!stale_epoch && number == next && age <= MAX_AGE_VERSIONS);
                        for sample in samples {
                            let key = (sample.group, sample.index, sample.epoch, sample.attempt);
                            prop_assert!(delivered.insert(key), "{key:?} is delivered again");
                        }
                    }
                }
            }
        }
    }
}

//! Random runs of a trainer's batches over hosts that stop, are cut off, lose their memory and take
//! the trainer over from each other: a batch is lost only if no host has it, and the trainer never
//! reads the same samples in two batches.

use catkinlatch_base::{BatchNumber, Epoch, GroupNumber, HostId, Incarnation, TrainerId, Version};
use catkinlatch_rollout::copies::{Answer, Search, Verdict};
use catkinlatch_state::batch::{Admission, Batch, Change, Ledger, Ledgers, Reply, Sample};
use std::collections::{BTreeMap, BTreeSet};

const HOSTS: usize = 4;
const RUNS: u64 = 300;
const STEPS: usize = 400;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}

fn trainer() -> TrainerId {
    id("defects")
}

fn host_id(host: usize) -> HostId {
    id(&format!("host-{host}"))
}

/// What a host keeps in memory.
#[derive(Default)]
struct Host {
    is_stopped: bool,
    copies: BTreeMap<BatchNumber, Batch>,
}

/// The hosts, the ledger, and what the trainer has read.
struct Model {
    random: fastrand::Rng,
    ledgers: Ledgers,
    epoch: Epoch,
    coordinator: usize,
    hosts: Vec<Host>,
    /// Pairs of hosts between which messages of the first get no answer.
    cuts: BTreeSet<(usize, usize)>,
    /// The batch that the trainer wants next, and the group numbers that it has read.
    wanted: BatchNumber,
    read: BTreeSet<GroupNumber>,
    groups: u64,
    lost: usize,
    unknown: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            random: fastrand::Rng::with_seed(seed),
            ledgers: Ledgers::default(),
            epoch: Epoch::default(),
            coordinator: 0,
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            cuts: BTreeSet::new(),
            wanted: BatchNumber::new(1),
            read: BTreeSet::new(),
            groups: 0,
            lost: 0,
            unknown: 0,
        };
        model.take_over(0);
        model.ledgers.apply(&Change::Publish { trainer: trainer(), version: Version::new(1) });
        model
    }

    fn ledger(&self) -> &Ledger {
        self.ledgers.get(&trainer()).expect("the ledger exists")
    }

    fn take_over(&mut self, host: usize) {
        let incarnation = Incarnation::new(1);
        let change = Change::Assign {
            trainer: trainer(),
            after: self.epoch,
            host: host_id(host),
            incarnation,
        };
        self.epoch = self.epoch.next();
        assert_eq!(self.ledgers.apply(&change), Reply::Assigned(self.epoch));
        self.coordinator = host;
    }

    fn answers(&self, from: usize, to: usize) -> bool {
        !self.hosts[to].is_stopped && !self.cuts.contains(&(from, to))
    }

    fn step(&mut self) {
        let host = self.random.usize(..HOSTS);
        match self.random.u8(..12) {
            0 => self.hosts[host].is_stopped = true,
            1 | 2 => self.hosts[host].is_stopped = false,
            3 => drop(self.cuts.insert((self.random.usize(..HOSTS), host))),
            4 => self.cuts.clear(),
            5 if self.random.u8(..3) == 0 => self.restart(host),
            6 if !self.hosts[host].is_stopped => self.take_over(host),
            7 => self.post_group(),
            8 | 9 => self.commit(),
            _ => self.fetch(),
        }
    }

    /// Restarts a host, which loses its memory.
    fn restart(&mut self, host: usize) {
        self.hosts[host] = Host::default();
        if self.coordinator == host {
            self.take_over(host);
        }
    }

    fn post_group(&mut self) {
        self.groups += 1;
        let groups = vec![Admission { id: id(&format!("group-{}", self.groups)), samples: 1 }];
        let change = Change::Admit { trainer: trainer(), epoch: self.epoch, groups };
        self.ledgers.apply(&change);
    }

    /// Commits the next batch once the trainer has asked for it.
    fn commit(&mut self) {
        let number = self.ledger().next_number();
        let own = self.coordinator;
        let Some(group) = self.ledger().open().keys().next().copied() else { return };
        if self.hosts[own].is_stopped || number != self.wanted {
            return;
        }
        let second = (0..HOSTS).find(|host| *host != own && self.answers(own, *host));
        let holders = [Some(own), second].into_iter().flatten();
        let holders: Vec<usize> = holders.collect();
        let (epoch, version) = (self.epoch, Version::new(1));
        let sample =
            Sample { group, index: 0, epoch, attempt: 0, oldest: version, newest: version };
        let hosts = holders.iter().copied().map(host_id).collect();
        let batch = Batch { number, samples: vec![sample], holders: hosts };
        for host in holders {
            self.hosts[host].copies.insert(number, batch.clone());
        }
        let change = Change::Commit { trainer: trainer(), epoch, max_age_versions: 1, batch };
        assert_eq!(self.ledgers.apply(&change), Reply::Committed);
    }

    /// Asks the coordinator for the last batch, as the trainer does until it has read it.
    fn fetch(&mut self) {
        let own = self.coordinator;
        let Some(last) = self.ledger().last().cloned() else { return };
        if self.hosts[own].is_stopped || last.batch.number != self.wanted {
            return;
        }
        if last.lost {
            self.wanted = self.wanted.next();
            return;
        }
        let number = last.batch.number;
        let copy = |host: usize| self.hosts[host].copies.get(&number).cloned();
        let mut search = Search::new(copy(own));
        for host in (0..HOSTS).filter(|host| *host != own) {
            if self.answers(own, host) {
                search.add(Answer::Holds(copy(host)));
            } else if last.batch.holders.contains(&host_id(host)) {
                search.add(Answer::Silent);
            }
        }
        match search.verdict() {
            Verdict::Found(batch) => self.read(own, batch),
            Verdict::Unknown => self.unknown += 1,
            Verdict::Lost => {
                for host in (0..HOSTS).filter(|host| copy(*host).is_some()) {
                    let is_holder = last.batch.holders.contains(&host_id(host));
                    let is_reached = self.answers(own, host);
                    assert!(
                        !is_holder && !is_reached,
                        "batch {number} is lost, host {host} has it"
                    );
                }
                let change = Change::Lose { trainer: trainer(), epoch: self.epoch, number };
                assert_eq!(self.ledgers.apply(&change), Reply::Lost);
                self.lost += 1;
            }
        }
    }

    /// Records what the trainer reads; it may ask for the same batch again.
    fn read(&mut self, own: usize, batch: Batch) {
        let is_again = batch.samples.iter().all(|sample| self.read.contains(&sample.group));
        let is_first = batch.samples.iter().all(|sample| !self.read.contains(&sample.group));
        assert!(is_again || is_first);
        self.read.extend(batch.samples.iter().map(|sample| sample.group));
        let number = batch.number;
        self.hosts[own].copies.insert(number, batch);
        if self.random.bool() {
            self.wanted = number.next();
        }
    }

    /// Checks that nothing that the trainer has read may be delivered again.
    fn check(&self) {
        let open = self.ledger().open();
        let again: Vec<_> = self.read.iter().filter(|group| open.contains_key(group)).collect();
        assert!(again.is_empty(), "groups {again:?} were read and are open again");
    }
}

#[test]
fn a_batch_is_lost_only_if_no_host_has_it_and_is_never_read_twice() {
    let (mut lost, mut unknown, mut read) = (0, 0, 0);
    for seed in 0..RUNS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
            model.check();
        }
        lost += model.lost;
        unknown += model.unknown;
        read += model.read.len();
    }
    assert!(lost > 50 && unknown > 500 && read > 1_000, "{lost} {unknown} {read}");
}

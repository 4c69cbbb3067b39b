//! Random runs of evacuations on hosts that lose their leader, their disk and what they know of
//! targets. Guards against targets that get requests in an evacuated zone, and against targets that
//! get none after it was restored.
//!
//! `CATKINLATCH_RUNS` sets the number of runs and `CATKINLATCH_SEED` the first seed.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]
#![allow(clippy::print_stdout, reason = "the seed is needed to reproduce a failed run")]

use catkinlatch_base::{Instant, TargetId, ZoneId};
use catkinlatch_ledger::{Command, Registry, State, Target, registry::Phase};
use catkinlatch_log::{Index, Machine as _};
use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

const HOSTS: usize = 3;
const ZONES: usize = 3;
const STEPS: u64 = 4_000;

#[derive(Default)]
struct Host {
    state: State,
    applied: usize,
    registry: Registry,
}

impl Host {
    /// Applies committed commands, as the store does whenever its state changes.
    fn apply(&mut self, log: &[Command], limit: usize, now: Instant) {
        let until = log.len().min(self.applied.saturating_add(limit));
        for command in &log[self.applied..until] {
            self.state.apply(Index::new(1), command);
        }
        self.applied = until;
        self.registry.set_evacuated(&self.state.evacuated, now);
    }
}

struct World {
    random: fastrand::Rng,
    now: Instant,
    log: Vec<Command>,
    hosts: Vec<Host>,
    leading: usize,
    /// The zones that are evacuated by the acknowledged decisions, in the order of the log.
    evacuated: BTreeSet<ZoneId>,
    /// The current start of each target and its last sequence number.
    starts: BTreeMap<TargetId, (u64, u64)>,
    /// The starts that drain or leave.
    leaving: BTreeSet<(TargetId, u64)>,
    /// How often the leader showed a target as evacuated.
    shown: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            now: Instant::ZERO,
            log: Vec::new(),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            leading: 0,
            evacuated: BTreeSet::new(),
            starts: BTreeMap::new(),
            leaving: BTreeSet::new(),
            shown: 0,
        }
    }

    fn zone(&mut self) -> ZoneId {
        format!("zone-{}", self.random.usize(..ZONES)).parse().unwrap()
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.random.u64(..200));
        match self.random.u8(..20) {
            0..3 => self.decide(),
            3..12 => self.register(),
            12..14 => self.say_leaving(),
            14..16 => self.follow(),
            16 => {
                let host = self.random.usize(..HOSTS);
                let limit = self.random.usize(..4);
                self.hosts[host].apply(&self.log, limit, self.now);
            }
            17 => self.restart(),
            18 => self.change_leader(),
            _ => {
                let targets: Vec<TargetId> = self.starts.keys().cloned().collect();
                if let Some(id) = self.random.choice(targets) {
                    let registry = &mut self.hosts[self.leading].registry;
                    registry.withdraw(&id, None, self.now);
                }
            }
        }
        self.check();
    }

    /// Commits a decision, which may be a repeated one.
    fn decide(&mut self) {
        let zone = self.zone();
        let before = self.draining();
        let command = if self.random.bool() {
            self.evacuated.insert(zone.clone());
            Command::Evacuate { zone }
        } else {
            self.evacuated.remove(&zone);
            Command::Restore { zone }
        };
        let repeats = self.random.usize(1..3);
        self.log.extend(std::iter::repeat_n(command, repeats));
        self.hosts[self.leading].apply(&self.log, usize::MAX, self.now);
        assert_eq!(before, self.draining(), "a decision changed which targets drain");
    }

    fn draining(&self) -> BTreeSet<TargetId> {
        let targets = self.hosts[self.leading].registry.targets();
        let draining = targets.filter(|target| target.phase == Phase::Draining);
        draining.map(|target| target.id.clone()).collect()
    }

    /// A target sends a heartbeat to the leader, perhaps as a new start at another address.
    fn register(&mut self) {
        let number = self.random.u16(..9);
        let id: TargetId = format!("target-{number}").parse().unwrap();
        let (born_ms, sequence) = self.starts.entry(id.clone()).or_insert((1, 0));
        if self.random.u8(..12) == 0 {
            (*born_ms, *sequence) = (*born_ms + 1, 0);
        }
        *sequence += 1;
        let (born_ms, sequence) = (*born_ms, *sequence);
        let start = (id.clone(), born_ms);
        if self.random.u8(..25) == 0 {
            self.leaving.insert(start.clone());
        }
        let phase = if self.leaving.contains(&start) { Phase::Draining } else { Phase::Ready };
        let target = Target {
            id,
            born_ms,
            sequence,
            service: "drafts".parse().unwrap(),
            address: format!("10.0.{number}.1:{}", 1_000 + born_ms),
            zone: format!("zone-{}", usize::from(number) % ZONES).parse().unwrap(),
            slots: 6,
            phase,
            cold_ms: 0,
            build: Default::default(),
            rate: None,
            is_spot: false,
            models: BTreeMap::new(),
        };
        self.hosts[self.leading].registry.register(target, self.now);
    }

    fn say_leaving(&mut self) {
        let starts: Vec<_> =
            self.starts.iter().map(|(id, (born, _))| (id.clone(), *born)).collect();
        if let Some((id, born_ms)) = self.random.choice(starts).filter(|_| self.random.bool()) {
            self.leaving.insert((id.clone(), born_ms));
            self.hosts[self.leading].registry.record_leaving(&id, born_ms, self.now);
        }
    }

    /// A random host adopts the view of the leader.
    fn follow(&mut self) {
        let host = self.random.usize(..HOSTS);
        if host == self.leading {
            return;
        }
        let leader = &self.hosts[self.leading].registry;
        let (targets, tombstones) = (leader.targets().cloned().collect(), leader.tombstones());
        let tombstones = tombstones.collect();
        self.hosts[host].registry.adopt(targets, tombstones, self.now);
    }

    /// A host starts anew: with its disk, from a snapshot, or without its disk.
    fn restart(&mut self) {
        let number = self.random.usize(..HOSTS);
        if number == self.leading {
            self.change_leader();
        }
        let host = &mut self.hosts[number];
        host.registry = Registry::default();
        if self.random.bool() {
            (host.state, host.applied) = (State::default(), 0);
        } else {
            let config = bincode::config::standard();
            let bytes = bincode::serde::encode_to_vec(&host.state, config).unwrap();
            (host.state, _) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
        }
        let limit = self.random.usize(..4);
        self.hosts[number].apply(&self.log, limit, self.now);
    }

    fn change_leader(&mut self) {
        self.leading = (self.leading + self.random.usize(1..HOSTS)) % HOSTS;
        self.hosts[self.leading].apply(&self.log, usize::MAX, self.now);
    }

    fn check(&mut self) {
        let leader = &self.hosts[self.leading];
        assert_eq!(leader.state.evacuated, self.evacuated, "an acknowledged decision is lost");
        for target in leader.registry.targets() {
            let is_evacuated = self.evacuated.contains(&target.zone);
            assert!(!(is_evacuated && target.is_ready()), "{target:?} gets requests");
            self.shown += u64::from(target.phase == Phase::Evacuated);
            let leaves = self.leaving.contains(&(target.id.clone(), target.born_ms));
            assert!(is_evacuated || leaves || target.is_ready(), "{target:?} gets nothing");
        }
    }
}

fn env_or(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn acknowledged_decisions_hold_on_every_leader() {
    let first = env_or("CATKINLATCH_SEED", 1);
    for seed in first..first + env_or("CATKINLATCH_RUNS", 10) {
        println!("seed {seed}");
        let mut world = World::new(seed);
        (0..STEPS).for_each(|_| world.step());
        let (decisions, shown) = (world.log.len(), world.shown);
        assert!(decisions > 100 && shown > 1_000, "too little happened: {decisions}, {shown}");
    }
}

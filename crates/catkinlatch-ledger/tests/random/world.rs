//! Hosts, clients and engines of the randomised runs.

use super::{check::Check, leader::Leader, model};
use catkinlatch_base::{JobId, Version};
use catkinlatch_ledger::{Command, Job, State, schedule::Engine};
use catkinlatch_log::{Index, Machine as _};
use std::{collections::BTreeMap, sync::Arc};

const HOSTS: usize = 3;

/// How many jobs clients keep open at a time.
const OPEN_JOBS: usize = 6;

/// How many steps the open jobs may take once the faults have ended.
const CALM_STEPS: u64 = 40_000;

/// A host: its state, and how many committed commands it has applied.
#[derive(Default)]
struct Host {
    state: State,
    applied: usize,
}

pub struct World {
    pub steps: u64,
    pub check: Check,
    random: fastrand::Rng,
    is_single_version: bool,
    wall_ms: u64,
    /// The committed commands, in order.
    log: Vec<Command>,
    hosts: Vec<Host>,
    /// Which host leads.
    leading: usize,
    leader: Leader,
    engines: Vec<Engine>,
    named: u64,
    jobs: u64,
    /// Jobs that were handed in and not acknowledged, which are handed in again.
    unsure: BTreeMap<JobId, Arc<Job>>,
}

impl World {
    pub fn new(seed: u64, is_single_version: bool) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let engines =
            (0..random.usize(1..5)).map(|number| model::engine(number, 1 + number as u32));
        Self {
            steps: 0,
            check: Check::default(),
            engines: engines.collect(),
            random,
            is_single_version,
            wall_ms: 1_000,
            log: Vec::new(),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            leading: 0,
            leader: Leader::default(),
            named: 1,
            jobs: 0,
            unsure: BTreeMap::new(),
        }
    }

    /// Runs under faults, then checks that all open jobs come to their end.
    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(true);
        }
        for job in std::mem::take(&mut self.unsure).into_values() {
            self.propose(Command::Submit(job));
        }
        let end = self.steps + CALM_STEPS;
        while !self.is_idle() {
            assert!(self.steps < end, "open jobs never end");
            self.step(false);
        }
        for host in 0..HOSTS {
            self.apply(host, usize::MAX);
        }
        let first = &self.hosts[0].state;
        assert!(self.hosts.iter().all(|host| host.state == *first), "the hosts differ");
    }

    fn step(&mut self, has_faults: bool) {
        self.steps += 1;
        self.wall_ms += self.random.u64(..60);
        let (wall_ms, random) = (self.wall_ms, &mut self.random);
        match random.u8(..if has_faults { 60 } else { 40 }) {
            0..8 => self.assign(),
            8..20 => self.leader.work(&self.engines, wall_ms, random),
            20..23 => self.leader.score(random),
            23..26 => self.leader.record(wall_ms, random),
            26..36 => self.commit(),
            36 | 37 => self.apply_some(),
            38 => self.load(),
            39 => self.leader.tell_late(wall_ms, random),
            40..44 => self.submit(),
            44 => self.submit_again(),
            45 if random.bool() => self.end_job(),
            46 => self.forget(),
            47 => self.restart(),
            48 => self.change_leader(),
            49 => self.leader.cut(random),
            _ => self.assign(),
        }
        self.check.check(&self.hosts[self.leading].state, true);
    }

    fn state(&self) -> &State {
        &self.hosts[self.leading].state
    }

    fn assign(&mut self) {
        let state = &self.hosts[self.leading].state;
        self.leader.follow(state);
        self.leader.assign(state, &self.engines, self.wall_ms);
    }

    fn propose(&mut self, command: Command) {
        self.leader.proposed.push_back(command);
    }

    /// Commits what the leader proposed first, and acknowledges it.
    fn commit(&mut self) {
        let Some(command) = self.leader.proposed.pop_front() else { return };
        self.log.push(command.clone());
        self.apply(self.leading, usize::MAX);
        match command {
            Command::Submit(job) => {
                self.unsure.remove(&job.id);
                if let Some(record) = self.state().jobs.get(&job.id) {
                    // A job that was handed in twice is the one that came first.
                    let job = record.job.clone();
                    self.check.kept.insert(job.id.clone(), job);
                }
            }
            Command::Forget { job } => {
                self.check.kept.remove(&job);
            }
            _ => {}
        }
    }

    fn apply(&mut self, host: usize, most: usize) {
        let host = &mut self.hosts[host];
        let until = self.log.len().min(host.applied.saturating_add(most));
        for (number, command) in self.log[host.applied..until].iter().enumerate() {
            let index = Index::new((host.applied + number + 1) as u64);
            host.state.apply(index, command);
        }
        host.applied = until;
    }

    /// Lets a host that does not lead apply some of the log, and checks what it then shows.
    fn apply_some(&mut self) {
        let host = self.random.usize(..HOSTS);
        let most = self.random.usize(..20);
        self.apply(host, most);
        self.check.check(&self.hosts[host].state, false);
    }

    /// Hands in a job; another copy of it may come at once.
    fn submit(&mut self) {
        let open = self.state().jobs.values().filter(|record| !record.is_done()).count();
        if open + self.unsure.len() >= OPEN_JOBS {
            return;
        }
        self.jobs += 1;
        let least = self.named.saturating_sub(self.random.u64(..2));
        let (wall_ms, is_single) = (self.wall_ms, self.is_single_version);
        let job = model::job(self.jobs, wall_ms, least, is_single, &mut self.random);
        self.unsure.insert(job.id.clone(), job.clone());
        self.propose(Command::Submit(job));
    }

    /// Hands in a job again that was not acknowledged, or one that was; what is dropped is so late
    /// that no copy of it comes any more.
    fn submit_again(&mut self) {
        let jobs = self.unsure.values().chain(self.check.kept.values());
        let jobs: Vec<Arc<Job>> = jobs.filter(|job| !self.is_forgotten(&job.id)).cloned().collect();
        let Some(job) = self.random.choice(jobs) else { return };
        let mut again = Job::clone(&job);
        again.submitted_ms = self.wall_ms;
        self.propose(Command::Submit(Arc::new(again)));
    }

    fn is_forgotten(&self, id: &JobId) -> bool {
        let is_forgotten =
            |command: &Command| matches!(command, Command::Forget { job } if job == id);
        self.leader.proposed.iter().any(is_forgotten)
    }

    fn end_job(&mut self) {
        let jobs: Vec<JobId> = self.state().jobs.keys().cloned().collect();
        if let Some(job) = self.random.choice(jobs) {
            self.propose(Command::End { job });
        }
    }

    /// Drops a job that is done.
    fn forget(&mut self) {
        let done = self.state().jobs.iter().filter(|(_, record)| record.is_done());
        let done: Vec<JobId> = done.map(|(id, _)| id.clone()).collect();
        if let Some(job) = self.random.choice(done).filter(|job| !self.unsure.contains_key(job)) {
            let is_again =
                |command: &Command| matches!(command, Command::Submit(other) if other.id == job);
            if !self.leader.proposed.iter().any(is_again) {
                self.propose(Command::Forget { job });
            }
        }
    }

    /// Starts a host anew from a snapshot of its state.
    fn restart(&mut self) {
        let host = self.random.usize(..HOSTS);
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&self.hosts[host].state, config).unwrap();
        let (state, _) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
        assert_eq!(self.hosts[host].state, state, "a snapshot is not what it was taken of");
        self.hosts[host].state = state;
    }

    /// Lets another host lead; a part of what the last one proposed is committed all the same.
    fn change_leader(&mut self) {
        let committed = self.random.usize(..=self.leader.proposed.len());
        for _ in 0..committed {
            self.commit();
        }
        self.leader = Leader::default();
        self.leading = self.random.usize(..HOSTS);
        self.apply(self.leading, usize::MAX);
    }

    /// Brings an engine to a version, or names a new one.
    fn load(&mut self) {
        if self.random.u8(..4) == 0 {
            self.named += 1;
        }
        let number = self.random.usize(..self.engines.len());
        self.engines[number].models.insert(model::model(), Version::new(self.named));
    }

    fn is_idle(&self) -> bool {
        let is_done = self.state().jobs.values().all(|record| record.is_done());
        is_done && self.leader.proposed.is_empty()
    }
}

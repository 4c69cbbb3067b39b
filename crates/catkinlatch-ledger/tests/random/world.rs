//! The hosts, clients and engines of the simulation.

use super::{check::Checker, leader::Leader, model};
use catkinlatch_base::{JobId, Version};
use catkinlatch_ledger::{Command, Job, State, schedule::Engine};
use catkinlatch_log::{Index, Machine as _};
use std::{collections::BTreeMap, sync::Arc};

const HOSTS: usize = 3;

/// The maximum number of unfinished jobs of clients.
const MAX_OPEN_JOBS: usize = 6;

/// The maximum number of steps until all jobs end once no more faults are injected.
const RECOVERY_STEPS: u64 = 40_000;

/// A host with its state and the number of committed commands that it has applied.
#[derive(Default)]
struct Host {
    state: State,
    applied: usize,
}

pub struct World {
    pub steps: u64,
    pub checker: Checker,
    random: fastrand::Rng,
    is_single_version: bool,
    wall_ms: u64,
    /// The committed commands, in order.
    log: Vec<Command>,
    hosts: Vec<Host>,
    /// The position of the host that leads.
    leading: usize,
    leader: Leader,
    engines: Vec<Engine>,
    latest_version: u64,
    jobs: u64,
    /// Jobs that were submitted but not acknowledged, which are submitted again.
    unacknowledged: BTreeMap<JobId, Arc<Job>>,
}

impl World {
    pub fn new(seed: u64, is_single_version: bool) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let engines =
            (0..random.usize(1..5)).map(|number| model::engine(number, 1 + number as u32));
        Self {
            steps: 0,
            checker: Checker::default(),
            engines: engines.collect(),
            random,
            is_single_version,
            wall_ms: 1_000,
            log: Vec::new(),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            leading: 0,
            leader: Leader::default(),
            latest_version: 1,
            jobs: 0,
            unacknowledged: BTreeMap::new(),
        }
    }

    /// Runs `steps` steps with faults, then checks that all jobs end and all hosts converge.
    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(true);
        }
        for job in std::mem::take(&mut self.unacknowledged).into_values() {
            self.propose(Command::Submit(job));
        }
        let end = self.steps + RECOVERY_STEPS;
        while !self.is_idle() {
            assert!(self.steps < end, "unfinished jobs do not end");
            self.step(false);
        }
        for host in 0..HOSTS {
            self.apply(host, usize::MAX);
        }
        let first = &self.hosts[0].state;
        assert!(self.hosts.iter().all(|host| host.state == *first), "hosts have different states");
    }

    fn step(&mut self, has_faults: bool) {
        self.steps += 1;
        self.wall_ms += self.random.u64(..60);
        let (wall_ms, random) = (self.wall_ms, &mut self.random);
        match random.u8(..if has_faults { 60 } else { 40 }) {
            0..8 => self.assign(),
            8..20 => self.leader.advance_run(&self.engines, wall_ms, random),
            20..23 => self.leader.score(random),
            23..26 => self.leader.record(wall_ms, random),
            26..36 => self.commit(),
            36 | 37 => self.apply_some(),
            38 => self.load_weights(),
            39 => self.leader.end_cut_run(wall_ms, random),
            40..44 => self.submit(),
            44 => self.submit_again(),
            45 if random.bool() => self.end_job(),
            46 => self.remove_job(),
            47 => self.restart(),
            48 => self.change_leader(),
            49 => self.leader.preempt(random),
            _ => self.assign(),
        }
        self.checker.check(&self.hosts[self.leading].state, true);
    }

    fn state(&self) -> &State {
        &self.hosts[self.leading].state
    }

    fn assign(&mut self) {
        let state = &self.hosts[self.leading].state;
        self.leader.sync_jobs(state);
        self.leader.assign(state, &self.engines, self.wall_ms);
    }

    fn propose(&mut self, command: Command) {
        self.leader.proposed.push_back(command);
    }

    /// Commits the oldest proposal of the leader, and acknowledges it.
    fn commit(&mut self) {
        let Some(command) = self.leader.proposed.pop_front() else { return };
        self.log.push(command.clone());
        self.apply(self.leading, usize::MAX);
        match command {
            Command::Submit(job) => {
                self.unacknowledged.remove(&job.id);
                if let Some(record) = self.state().jobs.get(&job.id) {
                    // If a job was submitted twice, the first submission takes effect.
                    let job = record.job.clone();
                    self.checker.acknowledged.insert(job.id.clone(), job);
                }
            }
            Command::Forget { job } => {
                self.checker.acknowledged.remove(&job);
            }
            _ => {}
        }
    }

    fn apply(&mut self, host: usize, limit: usize) {
        let host = &mut self.hosts[host];
        let until = self.log.len().min(host.applied.saturating_add(limit));
        for (number, command) in self.log[host.applied..until].iter().enumerate() {
            let index = Index::new((host.applied + number + 1) as u64);
            host.state.apply(index, command);
        }
        host.applied = until;
    }

    /// Makes a random host apply some commands of the log, and checks its state.
    fn apply_some(&mut self) {
        let host = self.random.usize(..HOSTS);
        let limit = self.random.usize(..20);
        self.apply(host, limit);
        self.checker.check(&self.hosts[host].state, false);
    }

    /// Submits a new job, which may be submitted again before it is acknowledged.
    fn submit(&mut self) {
        let open = self.state().jobs.values().filter(|record| !record.is_done()).count();
        if open + self.unacknowledged.len() >= MAX_OPEN_JOBS {
            return;
        }
        self.jobs += 1;
        let min_version = self.latest_version.saturating_sub(self.random.u64(..2));
        let (wall_ms, is_single) = (self.wall_ms, self.is_single_version);
        let job = model::job(self.jobs, wall_ms, min_version, is_single, &mut self.random);
        self.unacknowledged.insert(job.id.clone(), job.clone());
        self.propose(Command::Submit(job));
    }

    /// Submits a known job again, whether or not it was acknowledged. Jobs whose removal is
    /// proposed are excluded: jobs are removed so late that no copy of them arrives any more.
    fn submit_again(&mut self) {
        let jobs = self.unacknowledged.values().chain(self.checker.acknowledged.values());
        let jobs: Vec<Arc<Job>> =
            jobs.filter(|job| !self.is_removal_proposed(&job.id)).cloned().collect();
        let Some(job) = self.random.choice(jobs) else { return };
        let mut again = Job::clone(&job);
        again.submitted_ms = self.wall_ms;
        self.propose(Command::Submit(Arc::new(again)));
    }

    fn is_removal_proposed(&self, id: &JobId) -> bool {
        let is_removal_proposed =
            |command: &Command| matches!(command, Command::Forget { job } if job == id);
        self.leader.proposed.iter().any(is_removal_proposed)
    }

    fn end_job(&mut self) {
        let jobs: Vec<JobId> = self.state().jobs.keys().cloned().collect();
        if let Some(job) = self.random.choice(jobs) {
            self.propose(Command::End { job });
        }
    }

    /// Removes a job that is done.
    fn remove_job(&mut self) {
        let done = self.state().jobs.iter().filter(|(_, record)| record.is_done());
        let done: Vec<JobId> = done.map(|(id, _)| id.clone()).collect();
        if let Some(job) =
            self.random.choice(done).filter(|job| !self.unacknowledged.contains_key(job))
        {
            let is_again =
                |command: &Command| matches!(command, Command::Submit(other) if other.id == job);
            if !self.leader.proposed.iter().any(is_again) {
                self.propose(Command::Forget { job });
            }
        }
    }

    /// Restarts a host from a snapshot of its state.
    fn restart(&mut self) {
        let host = self.random.usize(..HOSTS);
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&self.hosts[host].state, config).unwrap();
        let (state, _) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
        assert_eq!(
            self.hosts[host].state, state,
            "a snapshot differs from the state it was taken of"
        );
        self.hosts[host].state = state;
    }

    /// Makes a random host the leader. Some of the previous leader's proposals are still committed,
    /// the others are lost.
    fn change_leader(&mut self) {
        let committed = self.random.usize(..=self.leader.proposed.len());
        for _ in 0..committed {
            self.commit();
        }
        self.leader = Leader::default();
        self.leading = self.random.usize(..HOSTS);
        self.apply(self.leading, usize::MAX);
    }

    /// Loads the latest version of the weights into a random engine, and sometimes publishes a new
    /// version before.
    fn load_weights(&mut self) {
        if self.random.u8(..4) == 0 {
            self.latest_version += 1;
        }
        let number = self.random.usize(..self.engines.len());
        self.engines[number].models.insert(model::model(), Version::new(self.latest_version));
    }

    fn is_idle(&self) -> bool {
        let is_done = self.state().jobs.values().all(|record| record.is_done());
        is_done && self.leader.proposed.is_empty()
    }
}

//! Hosts, a bad network and a queue of events in true time.

use super::{
    check::Record,
    clock::Clock,
    host::{Digest, Host},
};
use crate::net;
use catkinlatch_base::{HostId, Incarnation};
use catkinlatch_log::{Action, Core, Frame, Index, Input, Settings, Token, storage::Memory};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub const MILLI: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MILLI;

/// How long faults go on.
const STORM: u64 = 60 * SECOND;

/// How long the hosts then have to recover.
const CALM: u64 = 40 * SECOND;

pub enum Event {
    Input { host: usize, run: u64, input: Box<Input<u64>> },
    Wake { host: usize, wake: u64 },
    Sync { host: usize, run: u64, number: u64 },
    Resume { host: usize },
    Restart { host: usize },
    Fault,
    Propose,
    Heal { links: Vec<(usize, usize)> },
}

pub struct World {
    pub now: u64,
    pub random: fastrand::Rng,
    pub settings: Settings,
    pub hosts: Vec<Host>,
    pub cut: BTreeMap<(usize, usize), u32>,
    pub record: Record,
    pub steps: u64,
    pub loss: f64,
    pub doubling: f64,
    pub is_stormy: bool,
    pub lost_at: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_wake: u64,
    next_incarnation: u128,
    next_token: u64,
}

impl World {
    pub fn new(hosts: usize, disks: usize, seed: u64, feeds_learners: bool) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let voters = if random.bool() { hosts.min(3) } else { hosts.min(5) };
        let mut settings = net::settings(hosts, voters);
        settings.snapshot_every = random.u64(5..60);
        settings.snapshot_keep = random.u64(0..20);
        settings.feeds_learners = feeds_learners;
        settings.chunk_bytes = 3;
        settings.max_entries = 4;
        settings.max_ahead = 16;
        settings.silence = Duration::from_millis(random.u64(2_500..5_000));
        settings.configuration_lease = Duration::from_millis(random.u64(2_000..5_000));
        settings.learner_beat = settings.configuration_lease / 5;
        let mut world = Self {
            now: 0,
            settings,
            hosts: Vec::new(),
            cut: BTreeMap::new(),
            record: Record::default(),
            steps: 0,
            loss: random.f64() * 0.1,
            doubling: random.f64() * 0.1,
            is_stormy: true,
            lost_at: 0,
            events: BTreeMap::new(),
            next_event: 0,
            next_wake: 0,
            next_incarnation: 1,
            next_token: 1,
            random,
        };
        for number in 0..hosts {
            let peer = net::peer(number, world.draw_incarnation(), number < disks);
            let host = Host {
                peer,
                core: None,
                storage: Memory::new(),
                clock: Clock::new(0, &mut world.random),
                run: 0,
                wake: 0,
                troubled: 0,
                paused: false,
                inbox: Vec::new(),
                is_identity_alive: false,
                seen: Index::ZERO,
                checked: Index::ZERO,
            };
            world.hosts.push(host);
        }
        for number in 0..hosts {
            world.start(number);
        }
        world.schedule(world.now + 2 * SECOND, Event::Fault);
        world.schedule(world.now + SECOND, Event::Propose);
        world
    }

    /// Runs the faults, then checks that the hosts recover.
    pub fn run(&mut self) {
        self.run_until(STORM);
        self.calm();
        self.run_until(STORM + CALM);
        self.check_recovery();
    }

    fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.perform_event(event);
        }
        self.now = end;
    }

    pub fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at.max(self.now), self.next_event), event);
    }

    pub fn draw_incarnation(&mut self) -> u128 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn perform_event(&mut self, event: Event) {
        match event {
            Event::Input { host, run, input } => {
                if self.hosts[host].run == run {
                    self.give(host, *input);
                }
            }
            Event::Wake { host, wake } => {
                if self.hosts[host].wake == wake {
                    self.give(host, Input::Tick);
                }
            }
            Event::Sync { host, run, number } => self.sync(host, run, number),
            Event::Resume { host } => self.resume(host),
            Event::Restart { host } => self.start(host),
            Event::Fault => self.fault(),
            Event::Propose => self.propose(),
            Event::Heal { links } => self.heal(&links),
        }
    }

    /// Gives an input to a host, or keeps it until the host runs again.
    pub fn give(&mut self, number: usize, input: Input<u64>) {
        let host = &mut self.hosts[number];
        if host.core.is_none() {
            return;
        }
        host.inbox.push(input);
        if !host.paused {
            self.step(number);
        }
    }

    fn step(&mut self, number: usize) {
        let local = self.hosts[number].local(self.now);
        let host = &mut self.hosts[number];
        let inputs = std::mem::take(&mut host.inbox);
        let Some(core) = &mut host.core else { return };
        let actions = core.step_batch(local, inputs);
        self.steps += 1;
        for action in actions {
            self.perform(number, action);
        }
        self.check(number);
    }

    fn perform(&mut self, number: usize, action: Action<u64, u64>) {
        match action {
            Action::Persist(write) => {
                let failed = self.hosts[number].storage.write(&write).is_err();
                let run = self.hosts[number].run;
                let slow = if self.random.u8(..50) == 0 { 500 } else { 10 };
                let at = self.now + self.random.u64(..slow * MILLI);
                let event = if failed {
                    Event::Input { host: number, run, input: Box::new(Input::StorageFailed) }
                } else {
                    Event::Sync { host: number, run, number: write.number }
                };
                self.schedule(at, event);
            }
            Action::Send { to, frame } => self.send(number, &to, frame),
            Action::Wake { at } => {
                self.next_wake += 1;
                let host = &mut self.hosts[number];
                host.wake = self.next_wake;
                let at = host.clock.true_time(at).max(self.now + MILLI);
                self.schedule(at, Event::Wake { host: number, wake: self.next_wake });
            }
            Action::Applied { token, index, reply } => self.record.applied(token, index, reply),
            Action::ReadReady { token } => {
                let applied = self.hosts[number].core.as_ref().unwrap().applied();
                self.record.read(token, applied);
            }
            Action::Refused { token, refusal } => self.record.refused(token, &refusal),
            Action::Restored { .. } | Action::Changed { .. } | Action::Report(_) => {}
        }
    }

    fn sync(&mut self, number: usize, run: u64, through: u64) {
        let host = &mut self.hosts[number];
        if host.run != run {
            return;
        }
        let input = match host.storage.sync() {
            Ok(()) => Input::Persisted { through },
            Err(_) => Input::StorageFailed,
        };
        self.give(number, input);
    }

    fn send(&mut self, from: usize, to: &HostId, frame: Frame<u64>) {
        self.record.sent(&frame);
        let number = (0..self.hosts.len()).find(|n| net::host(*n) == *to).unwrap();
        if self.cut.contains_key(&(from, number)) || self.random.f64() < self.loss {
            return;
        }
        let bytes = frame.encode().unwrap();
        let copies = if self.random.f64() < self.doubling { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.random.u8(..100) {
                0 if self.is_stormy => self.random.u64(..4 * SECOND),
                1..5 => self.random.u64(..200 * MILLI),
                _ => self.random.u64(MILLI / 2..3 * MILLI),
            };
            let run = self.hosts[number].run;
            // A late frame may reach the process that runs on the host after a restart.
            let run = if self.random.bool() { run } else { run + u64::from(delay > SECOND) };
            let input = Box::new(Input::Receive(Frame::decode(&bytes).unwrap()));
            self.schedule(self.now + delay, Event::Input { host: number, run, input });
        }
    }

    fn resume(&mut self, number: usize) {
        if std::mem::take(&mut self.hosts[number].paused) {
            self.hosts[number].troubled = self.now;
            self.step(number);
        }
    }

    /// Starts the process of a host on what its storage holds.
    pub fn start(&mut self, number: usize) {
        let now = self.now;
        let random = fastrand::Rng::with_seed(self.random.u64(..));
        if self.hosts[number].core.is_some() {
            return;
        }
        if !self.hosts[number].is_identity_alive {
            let incarnation = self.draw_incarnation();
            self.hosts[number].peer.incarnation = Incarnation::new(incarnation);
            self.hosts[number].storage = Memory::new();
        }
        let clock = Clock::new(now, &mut self.random);
        let settings = self.settings.clone();
        let host = &mut self.hosts[number];
        let restored = host.storage.crash(0);
        host.clock = clock;
        host.run += 1;
        host.paused = false;
        host.troubled = now;
        host.inbox.clear();
        host.checked = Index::ZERO;
        host.is_identity_alive = true;
        let local = host.clock.local(now);
        let peer = host.peer.clone();
        host.core = Some(Core::new(settings, peer, Some(restored), random, local));
        self.give(number, Input::Tick);
    }

    fn propose(&mut self) {
        if self.is_stormy {
            let at = self.now + self.random.u64(10 * MILLI..200 * MILLI);
            self.schedule(at, Event::Propose);
        }
        let number = self.random.usize(..self.hosts.len());
        let leads =
            |host: &Host| host.core.as_ref().is_some_and(|core| core.leading_since().is_some());
        let leaders: Vec<usize> =
            (0..self.hosts.len()).filter(|number| leads(&self.hosts[*number])).collect();
        let number = self.random.choice(leaders).unwrap_or(number);
        for _ in 0..self.random.u8(1..6) {
            let command = self.next_token();
            self.give(number, Input::Propose { token: Token::new(command), command });
        }
        let token = Token::new(self.next_token());
        if self.hosts[number].core.is_some() {
            self.record.asked(token);
            self.give(number, Input::Read { token });
        }
    }

    pub fn next_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn heal(&mut self, links: &[(usize, usize)]) {
        for link in links {
            if let Some(count) = self.cut.get_mut(link) {
                *count -= 1;
                if *count == 0 {
                    self.hosts[link.0].troubled = self.now;
                    self.hosts[link.1].troubled = self.now;
                    self.cut.remove(link);
                }
            }
        }
    }

    /// Ends all faults.
    fn calm(&mut self) {
        self.is_stormy = false;
        self.loss = 0.0;
        self.doubling = 0.0;
        self.cut.clear();
        for number in 0..self.hosts.len() {
            self.hosts[number].storage.recover();
            self.resume(number);
            let failed = |core: &Core<Digest>| core.role() == catkinlatch_log::Role::Failed;
            if self.hosts[number].core.as_ref().is_some_and(failed) {
                self.hosts[number].core = None;
                self.hosts[number].run += 1;
            }
            self.start(number);
        }
    }

    /// Returns the identities whose synced state is not lost.
    pub fn living(&self) -> BTreeSet<Incarnation> {
        let living = self.hosts.iter().filter(|host| host.is_identity_alive);
        living.map(|host| host.peer.incarnation).collect()
    }
}

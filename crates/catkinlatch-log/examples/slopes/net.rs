//! Cores in one process, with simulated time and a network of fixed latency.

use catkinlatch_base::{HostId, Incarnation, Instant};
use catkinlatch_log::{
    Action, Core, Frame, Index, Input, Machine, Peer, Settings, Token, storage::Memory,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// State machine that keeps the newest commands, similar to a configuration.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Store {
    applied: u64,
    newest: VecDeque<Vec<u8>>,
}

/// Maximum number of hosts that may become voters.
const CONTROL_HOSTS: usize = 7;

/// Number of commands that the state machine keeps.
const KEPT_COMMANDS: usize = 1_000;

impl Machine for Store {
    type Command = Vec<u8>;
    type Reply = u64;

    fn apply(&mut self, _: Index, command: &Vec<u8>) -> u64 {
        self.applied += 1;
        self.newest.push_back(command.clone());
        if self.newest.len() > KEPT_COMMANDS {
            self.newest.pop_front();
        }
        self.applied
    }
}

/// Simulated hosts and their network.
pub struct Net {
    pub now: Instant,
    pub cores: Vec<Option<Core<Store>>>,
    pub applied: u64,
    /// Bytes sent by each host since [`Net::count_bytes`].
    pub sent: Vec<u64>,
    count_bytes: bool,
    delay: Duration,
    hosts: BTreeMap<HostId, usize>,
    storages: Vec<Memory<Vec<u8>>>,
    inboxes: Vec<Vec<Input<Vec<u8>>>>,
    in_flight: BTreeMap<Instant, Vec<Delivery>>,
    wakes: Vec<Instant>,
}

/// A frame in flight.
struct Delivery {
    to: usize,
    frame: Frame<Vec<u8>>,
}

/// Returns the id of a host.
pub fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a valid id")
}

/// Returns the initial identity of a host.
pub fn peer(number: usize) -> Peer {
    Peer {
        host: host(number),
        incarnation: Incarnation::new(u128::MAX / 3 + number as u128),
        zone: format!("zone-{}", number % 3).parse().expect("a valid id"),
        has_disk: true,
    }
}

impl Net {
    /// Creates hosts, the first `voters` of which vote, and runs them until a leader is elected.
    pub fn new(hosts: usize, voters: usize, delay: Duration, seed: u64) -> Self {
        let all = (0..hosts.min(CONTROL_HOSTS)).map(host).collect();
        let initial = (0..voters).map(host).collect();
        let cluster = "slopes".parse().expect("a valid id");
        let mut settings = Settings::new(cluster, all, initial);
        settings.max_voters = voters;
        let core = |number: usize| {
            let random = fastrand::Rng::with_seed(seed * 1_000 + number as u64);
            Some(Core::new(settings.clone(), peer(number), None, random, Instant::ZERO))
        };
        let mut net = Self {
            now: Instant::ZERO,
            cores: (0..hosts).map(core).collect(),
            applied: 0,
            sent: vec![0; hosts],
            count_bytes: false,
            delay,
            hosts: (0..hosts).map(|number| (host(number), number)).collect(),
            storages: vec![Memory::new(); hosts],
            inboxes: vec![Vec::new(); hosts],
            in_flight: BTreeMap::new(),
            wakes: vec![Instant::ZERO; hosts],
        };
        net.run_for(Duration::from_secs(15));
        assert!(net.leader().is_some(), "no leader is elected");
        net
    }

    /// Returns the host that holds the leader lease.
    pub fn leader(&self) -> Option<usize> {
        let leads = |core: &Core<Store>| core.lease(self.now).is_some();
        self.cores.iter().position(|core| core.as_ref().is_some_and(leads))
    }

    /// Delivers commands to a host as one batch.
    pub fn propose(&mut self, number: usize, commands: impl Iterator<Item = Vec<u8>>) {
        let token = Token::new(0);
        let inputs = commands.map(|command| Input::Propose { token, command });
        self.inboxes[number].extend(inputs);
    }

    /// Resets the byte counters and starts counting.
    pub fn count_bytes(&mut self) {
        self.count_bytes = true;
        self.sent.fill(0);
    }

    /// Advances simulated time by `duration`, in steps of 500 µs.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_micros(500);
            self.deliver();
            for number in 0..self.cores.len() {
                self.step(number);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if *entry.key() > self.now {
                return;
            }
            for Delivery { to, frame } in entry.remove() {
                self.inboxes[to].push(Input::Receive(frame));
            }
        }
    }

    /// Steps a host until it has nothing left to do at the current time.
    pub fn step(&mut self, number: usize) {
        while !self.inboxes[number].is_empty() || self.wakes[number] <= self.now {
            let inputs = std::mem::take(&mut self.inboxes[number]);
            let Some(core) = &mut self.cores[number] else { return };
            for action in core.step_batch(self.now, inputs) {
                self.perform(number, action);
            }
        }
    }

    fn perform(&mut self, number: usize, action: Action<Vec<u8>, u64>) {
        match action {
            Action::Persist(write) => {
                let storage = &mut self.storages[number];
                storage.write(&write).and_then(|()| storage.sync()).expect("memory does not fail");
                self.inboxes[number].push(Input::Persisted { through: write.number });
            }
            Action::Send { to, frame } => {
                if self.count_bytes {
                    self.sent[number] += frame.encode().expect("a frame encodes").len() as u64;
                }
                let at = self.now + self.delay;
                let delivery = Delivery { to: self.hosts[&to], frame };
                self.in_flight.entry(at).or_default().push(delivery);
            }
            Action::Applied { token: Some(_), .. } => self.applied += 1,
            Action::Wake { at } => {
                self.wakes[number] = at.max(self.now + Duration::from_micros(500));
            }
            _ => {}
        }
    }
}

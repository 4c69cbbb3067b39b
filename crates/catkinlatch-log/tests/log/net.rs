//! A few cores joined by a perfect network with a delay of one millisecond.

use catkinlatch_base::{HostId, Incarnation, Instant, ZoneId};
use catkinlatch_log::{Action, Core, Frame, Index, Input, Machine, Peer, Refusal, Settings, Token};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Keeps all commands in the order in which they were applied.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Journal {
    pub commands: Vec<u64>,
}

impl Machine for Journal {
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, _: Index, command: &u64) -> u64 {
        self.commands.push(*command);
        self.commands.len() as u64
    }
}

pub struct Net {
    now: Instant,
    cores: Vec<Core<Journal>>,
    inputs: Vec<VecDeque<Input<u64>>>,
    cut: BTreeSet<usize>,
    pub refused: BTreeMap<Token, Refusal>,
    pub answered: BTreeMap<Token, u64>,
}

pub fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

pub fn peer(number: usize, incarnation: u128, has_disk: bool) -> Peer {
    let zone: ZoneId = format!("zone-{}", number % 3).parse().unwrap();
    Peer { host: host(number), incarnation: Incarnation::new(incarnation), zone, has_disk }
}

pub fn settings(hosts: usize, voters: usize) -> Settings {
    let all = (0..hosts).map(host).collect();
    Settings::new("test".parse().unwrap(), all, (0..voters).map(host).collect())
}

impl Net {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let core = |number| {
            let random = fastrand::Rng::with_seed(seed * 100 + number as u64);
            let identity = peer(number, number as u128 + 1, true);
            Core::new(settings(hosts, hosts), identity, None, random, Instant::ZERO)
        };
        Self {
            now: Instant::ZERO,
            cores: (0..hosts).map(core).collect(),
            inputs: vec![VecDeque::new(); hosts],
            cut: BTreeSet::new(),
            refused: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    pub fn core(&self, number: usize) -> &Core<Journal> {
        &self.cores[number]
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader_besides(usize::MAX)
    }

    pub fn leader_besides(&self, other: usize) -> Option<usize> {
        let leads = |number: &usize| self.cores[*number].lease(self.now).is_some();
        (0..self.cores.len()).filter(|number| *number != other).find(leads)
    }

    pub fn applied(&self) -> Vec<Vec<u64>> {
        self.cores.iter().map(|core| core.machine().commands.clone()).collect()
    }

    pub fn cut(&mut self, number: usize) {
        self.cut.insert(number);
    }

    pub fn propose(&mut self, number: usize, token: Token, command: u64) {
        self.inputs[number].push_back(Input::Propose { token, command });
    }

    pub fn run_for(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now = Instant::from_millis(self.now.as_millis() + 1);
            for number in 0..self.cores.len() {
                let inputs = std::mem::take(&mut self.inputs[number]);
                let actions = self.cores[number].step_batch(self.now, inputs);
                for action in actions {
                    self.perform(number, action);
                }
            }
        }
    }

    fn perform(&mut self, number: usize, action: Action<u64, u64>) {
        match action {
            Action::Persist(write) => {
                self.inputs[number].push_back(Input::Persisted { through: write.number });
            }
            Action::Send { to, frame } => self.send(number, &to, frame),
            Action::Refused { token, refusal } => {
                self.refused.insert(token, refusal);
            }
            Action::Applied { token: Some(token), reply, .. } => {
                self.answered.insert(token, reply);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &HostId, frame: Frame<u64>) {
        let number = (0..self.cores.len()).find(|number| host(*number) == *to).unwrap();
        if !self.cut.contains(&from) && !self.cut.contains(&number) {
            self.inputs[number].push_back(Input::Receive(frame));
        }
    }
}

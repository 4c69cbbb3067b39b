//! Randomized simulations of usage windows: nodes count usage, replicate their counters, crash and
//! are disconnected while windows close.

use catkinlatch_base::{HostId, Incarnation, Instant, Term, Tokens, WindowId};
use catkinlatch_fleet::{
    Meter,
    meter::Record,
    usage::{Answer, Closer, Replicas, Report, Step},
};
use catkinlatch_state::window::{Change, Figure, NodeUsage, Reply, Windows};
use std::{collections::BTreeMap, time::Duration};
use test_case::test_case;

const HOSTS: usize = 6;
const WINDOW_MS: u64 = 1_000;
const STEP_MS: u64 = 50;
const GRACE: Duration = Duration::from_millis(1_500);

/// A node, with the counters that it holds for others.
struct Node {
    host: HostId,
    incarnation: Incarnation,
    meter: Meter,
    replicas: Replicas,
    disconnected_until: u64,
    /// The incarnation of the second node that holds all counters of this one, if any.
    second: Option<Incarnation>,
}

/// The nodes, the replicated state and the true usage.
struct Simulation {
    random: fastrand::Rng,
    nodes: Vec<Node>,
    windows: Windows,
    closer: Closer,
    term: u64,
    now_ms: u64,
    true_tokens: u64,
    reports: BTreeMap<WindowId, Vec<u8>>,
    last_crash: u64,
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("the id is valid")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let node = |number| Node {
            host: host(number),
            incarnation: Incarnation::generate(&mut random),
            meter: Meter::new(),
            replicas: Replicas::new(host(number)),
            disconnected_until: 0,
            second: None,
        };
        let nodes = (0..HOSTS).map(node).collect();
        let mut simulation = Self {
            random,
            nodes,
            windows: Windows::default(),
            closer: Closer::new(GRACE),
            term: 1,
            now_ms: 0,
            true_tokens: 0,
            reports: BTreeMap::new(),
            last_crash: 0,
        };
        (0..HOSTS).for_each(|number| simulation.enrol(number));
        simulation
    }

    fn present(&self) -> WindowId {
        WindowId::new(self.now_ms / WINDOW_MS)
    }

    fn is_disconnected(&self, number: usize) -> bool {
        self.now_ms < self.nodes[number].disconnected_until
    }

    fn enrol(&mut self, number: usize) {
        let node = &self.nodes[number];
        let active = self.windows.sources().get(&node.incarnation).is_some_and(|s| !s.is_gone);
        if !active && !self.is_disconnected(number) {
            let (host, incarnation) = (node.host.clone(), node.incarnation);
            self.windows.apply(&Change::Enroll { host, incarnation, from: self.present() });
        }
    }

    /// Counts one request on a node and replicates its counters to the second node.
    fn count(&mut self, number: usize) {
        let tokens = self.random.u64(1..100);
        let record = Record {
            team: format!("team-{}", self.random.u8(0..3)).parse().expect("the id is valid"),
            model: "draft".parse().expect("the id is valid"),
            prompt_tokens: Tokens::new(0),
            completion_tokens: Tokens::new(tokens),
            target_ms: 1,
        };
        let skew = self.random.u64(0..200);
        let window = WindowId::new(self.now_ms.saturating_sub(skew) / WINDOW_MS);
        self.nodes[number].meter.add(window, &record);
        self.true_tokens += tokens;
        self.hand_over(number);
    }

    fn hand_over(&mut self, number: usize) {
        let second = (number + 1) % HOSTS;
        if self.is_disconnected(number) || self.is_disconnected(second) {
            self.nodes[number].second = None;
            return;
        }
        let holder = self.nodes[second].incarnation;
        let node = &mut self.nodes[number];
        let changes = node.meter.take_changes();
        let counts = if node.second == Some(holder) { changes } else { node.meter.all() };
        node.second = Some(holder);
        let (host, incarnation) = (node.host.clone(), node.incarnation);
        for _ in 0..self.random.u8(1..3) {
            self.nodes[second].replicas.merge(&host, incarnation, &counts);
        }
    }

    /// Restarts a node without its memory, if all of its counters are replicated.
    fn crash(&mut self, number: usize) {
        let connected = (0..HOSTS).all(|n| self.nodes[n].disconnected_until + 6_000 < self.now_ms);
        if !connected || self.last_crash + 6_000 > self.now_ms {
            return;
        }
        self.last_crash = self.now_ms;
        (0..HOSTS).for_each(|n| self.hand_over(n));
        self.nodes[number] = Node {
            host: host(number),
            incarnation: Incarnation::generate(&mut self.random),
            meter: Meter::new(),
            replicas: Replicas::new(host(number)),
            disconnected_until: 0,
            second: None,
        };
        (0..HOSTS).for_each(|n| self.hand_over(n));
    }

    /// Carries out the leader's next step. A new leader starts with an empty closer.
    fn run_leader(&mut self) {
        if self.random.u8(0..40) == 0 {
            self.closer = Closer::new(GRACE);
            self.term += 1;
        }
        let hosts: Vec<HostId> = (0..HOSTS).map(host).collect();
        let now = Instant::from_millis(self.now_ms);
        match self.closer.next(&self.windows, self.present(), &hosts, now) {
            Step::Idle => {}
            Step::Ask { window, hosts } => {
                for number in (0..HOSTS).filter(|n| hosts.contains(&host(*n))) {
                    if !self.is_disconnected(number) && self.random.u8(0..4) > 0 {
                        self.answer(window, number);
                    }
                }
            }
            Step::Freeze { window, usages } => self.freeze(window, usages),
        }
    }

    fn answer(&mut self, window: WindowId, number: usize) {
        let node = &mut self.nodes[number];
        node.meter.close(window);
        let own = NodeUsage {
            host: node.host.clone(),
            incarnation: node.incarnation,
            spoken_by: None,
            counts: node.meter.counts(window),
        };
        let held = node.replicas.usages(window);
        self.closer.answered(window, node.host.clone(), Answer { own, held });
    }

    fn freeze(&mut self, id: WindowId, usages: Vec<NodeUsage>) {
        let (term, host) = (Term::new(self.term), host(0));
        let reply = self.windows.apply(&Change::Freeze { id, usages, term, host });
        assert_eq!(reply, Reply::Done);
        self.report(id);
    }

    /// Reports a window, possibly again, and checks that the bytes never differ.
    fn report(&mut self, id: WindowId) {
        let window = &self.windows.list()[&id];
        let bytes = Report::new(id, window, WINDOW_MS).to_bytes();
        let first = self.reports.entry(id).or_insert_with(|| bytes.clone());
        assert_eq!(*first, bytes, "window {id} is reported with other figures");
        self.windows.apply(&Change::Confirm { id });
    }

    fn prune(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let source = self.windows.sources().get(&node.incarnation);
        if let Some(through) = source.and_then(|source| source.settled_through) {
            node.meter.prune(through);
        }
        node.replicas.prune(&self.windows);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let number = self.random.usize(0..HOSTS);
        match self.random.u8(0..100) {
            0 => self.nodes[number].disconnected_until = self.now_ms + self.random.u64(100..4_000),
            1 => self.crash(number),
            _ => self.count(number),
        }
        self.enrol(number);
        self.prune(number);
        self.run_leader();
        let frozen: Vec<WindowId> = self.windows.list().keys().rev().take(3).copied().collect();
        frozen.into_iter().for_each(|id| self.report(id));
    }

    /// Runs until all disconnections have ended and the open windows have closed.
    fn settle(&mut self) {
        let until = self.now_ms + 20_000;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            for number in 0..HOSTS {
                self.enrol(number);
                self.hand_over(number);
            }
            self.run_leader();
        }
    }

    fn reported(&self) -> u64 {
        let of =
            |figures: &[Figure]| figures.iter().map(|f| f.completion_tokens.get()).sum::<u64>();
        let reports = self.reports.values().map(|bytes| {
            let report: Report = serde_json::from_slice(bytes).expect("a report is JSON");
            let corrected = report.corrections.iter().map(|c| of(&c.figures)).sum::<u64>();
            corrected + of(&report.figures)
        });
        reports.sum()
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn reports_agree_with_the_true_usage_to_the_token(seed: u64) {
    let steps = std::env::var("CATKINLATCH_STEPS").ok().and_then(|text| text.parse().ok());
    let mut simulation = Simulation::new(seed);
    (0..steps.unwrap_or(4_000)).for_each(|_| simulation.step());
    simulation.settle();
    assert_eq!(simulation.reported(), simulation.true_tokens);
}

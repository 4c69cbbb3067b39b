//! One run: callers, six nodes with a gate each, and the slots of nine engines.

use super::Figures;
use crate::policy::clock::Clock;
use catkinlatch_base::{Instant, Ratio, RouteId, TeamId, Tokens};
use catkinlatch_route::{
    Gate,
    admission::{self, Class, Decision, Outcome, Permit, Waiter},
};
use derive_more::Display;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

const NODES: usize = 6;
const TEAMS: usize = 8;
const SLOTS_PER_NODE: u32 = 12;
const TOKEN_TIME: Duration = Duration::from_millis(2);
const CALLER_DELAY: Duration = Duration::from_millis(3);
const DEADLINE: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(120);
const MEAN_TOKENS: f64 = 250.0;
const CALLER_TRIES: u32 = 3;

/// How a node decides who goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Queueing {
    /// First come, first served, without a bound and without refusals.
    #[display("fifo")]
    Fifo,
    /// The gate.
    #[display("gate")]
    Fair,
}

/// What callers offer and how nodes queue.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What each team offers against an equal share of capacity.
    pub load: f64,
    /// What the first team offers against an equal share, if more than `load`.
    pub greedy: f64,
    /// Whether the first team uses one node only.
    pub one_node: bool,
    /// How nodes queue.
    pub queueing: Queueing,
}

#[derive(Clone, Copy)]
struct Request {
    team: usize,
    node: usize,
    tokens: u64,
    sent: Instant,
    tries: u32,
}

enum Event {
    Arrive(usize),
    Ask(Request),
    Poll(usize),
    End(Request, Option<Permit>),
}

struct Run {
    case: Case,
    random: fastrand::Rng,
    clock: Clock<Event>,
    gates: Vec<Gate>,
    waiting: Vec<BTreeMap<Waiter, Request>>,
    lines: Vec<VecDeque<Request>>,
    running: Vec<u32>,
    offered: [u64; TEAMS],
    served: [u64; TEAMS],
    times: Vec<u64>,
    good: u64,
    ended: u64,
}

/// Runs a case for two minutes of simulated time.
pub fn run(case: &Case, seed: u64) -> Figures {
    let mut gates = Vec::new();
    for _ in 0..NODES {
        let mut gate = Gate::new(Ratio::new(0.2));
        gate.set_slots(&route(), SLOTS_PER_NODE);
        gates.push(gate);
    }
    let mut run = Run {
        case: *case,
        random: fastrand::Rng::with_seed(seed),
        clock: Clock::new(),
        gates,
        waiting: vec![BTreeMap::new(); NODES],
        lines: vec![VecDeque::new(); NODES],
        running: vec![0; NODES],
        offered: [0; TEAMS],
        served: [0; TEAMS],
        times: Vec::new(),
        good: 0,
        ended: 0,
    };
    for team in 0..TEAMS {
        run.clock.after(Duration::ZERO, Event::Arrive(team));
    }
    for node in 0..NODES {
        run.clock.after(Duration::ZERO, Event::Poll(node));
    }
    let end = Instant::ZERO + LENGTH;
    while let Some(event) = run.clock.next_until(end) {
        run.step(event);
    }
    run.figures()
}

impl Run {
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(team) => self.arrive(team),
            Event::Ask(request) => self.ask(request),
            Event::Poll(node) => {
                self.poll(node);
                self.clock.after(Duration::from_millis(100), Event::Poll(node));
            }
            Event::End(request, permit) => self.end(request, permit),
        }
    }

    fn arrive(&mut self, team: usize) {
        let factor = if team == 0 { self.case.load.max(self.case.greedy) } else { self.case.load };
        let capacity = f64::from(SLOTS_PER_NODE) * NODES as f64 / TOKEN_TIME.as_secs_f64();
        let rate = factor * capacity / TEAMS as f64 / MEAN_TOKENS;
        let pause = -(1.0 - self.random.f64()).ln() / rate;
        self.clock.after(Duration::from_secs_f64(pause), Event::Arrive(team));
        let pinned = team == 0 && self.case.one_node;
        let node = if pinned { 0 } else { self.random.usize(0..NODES) };
        let tokens = self.random.u64(50..=450);
        self.offered[team] += tokens;
        let request = Request { team, node, tokens, sent: self.clock.now(), tries: 0 };
        self.clock.after(CALLER_DELAY, Event::Ask(request));
    }

    fn ask(&mut self, request: Request) {
        if self.case.queueing == Queueing::Fifo {
            self.lines[request.node].push_back(request);
            return self.pull(request.node);
        }
        let now = self.clock.now();
        let ask = admission::Request {
            route: route(),
            team: team(request.team),
            weight: 1,
            class: Class::Live,
            cost: Tokens::new(request.tokens),
            deadline: request.sent + DEADLINE,
        };
        match self.gates[request.node].admit(&ask, now) {
            Decision::Run(permit) => self.start(request, Some(permit)),
            Decision::Wait { waiter, .. } => {
                self.waiting[request.node].insert(waiter, request);
            }
            Decision::Refuse(denial) => self.come_back(request, denial.retry_after()),
        }
    }

    /// A refused caller asks again through any node when it was told to.
    fn come_back(&mut self, request: Request, pause: Duration) {
        let tries = request.tries + 1;
        if tries >= CALLER_TRIES || self.clock.now() + pause > request.sent + DEADLINE {
            return;
        }
        let pinned = request.team == 0 && self.case.one_node;
        let node = if pinned { 0 } else { self.random.usize(0..NODES) };
        self.clock.after(pause + CALLER_DELAY * 2, Event::Ask(Request { node, tries, ..request }));
    }

    fn pull(&mut self, node: usize) {
        while self.running[node] < SLOTS_PER_NODE {
            let Some(request) = self.lines[node].pop_front() else { return };
            self.running[node] += 1;
            self.start(request, None);
        }
    }

    fn poll(&mut self, node: usize) {
        if self.case.queueing == Queueing::Fifo {
            return;
        }
        for outcome in self.gates[node].poll(&route(), self.clock.now()) {
            match outcome {
                Outcome::Run(waiter, permit) => {
                    let request = self.waiting[node].remove(&waiter);
                    self.start(request.expect("the waiter is known"), Some(permit));
                }
                Outcome::Refuse(waiter, denial) => {
                    let request = self.waiting[node].remove(&waiter);
                    let request = request.expect("the waiter is known");
                    self.come_back(request, denial.retry_after());
                }
            }
        }
    }

    fn start(&mut self, request: Request, permit: Option<Permit>) {
        let tokens = u32::try_from(request.tokens).expect("an answer is short");
        self.clock.after(TOKEN_TIME * tokens, Event::End(request, permit));
    }

    fn end(&mut self, request: Request, permit: Option<Permit>) {
        let now = self.clock.now();
        let took = now + CALLER_DELAY - request.sent;
        self.ended += 1;
        self.served[request.team] += request.tokens;
        if took <= DEADLINE {
            self.good += 1;
        }
        if request.team != 0 {
            self.times.push(u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
        }
        match permit {
            Some(permit) => {
                self.gates[request.node].finish(permit, Some(Tokens::new(request.tokens)), now);
                self.poll(request.node);
            }
            None => {
                self.running[request.node] -= 1;
                self.pull(request.node);
            }
        }
    }

    fn figures(mut self) -> Figures {
        let capacity = f64::from(SLOTS_PER_NODE) * NODES as f64 / TOKEN_TIME.as_secs_f64();
        let equal = capacity * LENGTH.as_secs_f64() / TEAMS as f64;
        let share =
            |team: usize| self.served[team] as f64 / equal.min(self.offered[team] as f64).max(1.0);
        let worst_share = (1..TEAMS).map(share).fold(f64::INFINITY, f64::min);
        self.times.sort_unstable();
        let last = self.times.len().saturating_sub(1);
        let p99_ms = self.times.get(last * 99 / 100).copied().unwrap_or_default() as f64;
        let good_per_second = self.good as f64 / LENGTH.as_secs_f64();
        let wasted = (self.ended - self.good) as f64 / self.ended.max(1) as f64;
        Figures { worst_share, p99_ms, good_per_second, wasted }
    }
}

fn route() -> RouteId {
    "draft".parse().expect("the id is valid")
}

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().expect("the id is valid")
}

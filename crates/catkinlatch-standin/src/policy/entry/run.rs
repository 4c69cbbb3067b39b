//! The simulation: callers, six nodes with a [`Gate`] each, and the engine slots behind them.

use super::Metrics;
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

/// Time to generate one token.
const TOKEN_TIME: Duration = Duration::from_millis(2);

/// One-way network latency between a caller and a node.
const CALLER_LATENCY: Duration = Duration::from_millis(3);

/// Deadline of a request, from the moment that its caller sent it.
const DEADLINE: Duration = Duration::from_secs(8);

/// Simulated time of a run.
const DURATION: Duration = Duration::from_secs(120);

/// Mean number of tokens in an answer; `Run::arrive` draws the numbers.
const MEAN_TOKENS: f64 = 250.0;

/// Maximum number of attempts of a caller whose request is refused, including the first.
const MAX_CALLER_ATTEMPTS: u32 = 3;

/// The queueing discipline of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Queueing {
    /// An unbounded first-in, first-out queue that refuses no request.
    #[display("fifo")]
    Fifo,
    /// Weighted fair queueing by the [`Gate`], which may refuse requests.
    #[display("gate")]
    Fair,
}

/// The offered load and the queueing discipline of a run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The load that each team offers, relative to an equal share of capacity.
    pub load: f64,
    /// The load that the first team offers if greater than `load`, in the same unit.
    pub large_team_load: f64,
    /// Whether the first team sends all of its requests through one node.
    pub one_node: bool,
    /// The queueing discipline of all nodes.
    pub queueing: Queueing,
}

#[derive(Clone, Copy)]
struct Request {
    team: usize,
    node: usize,
    tokens: u64,
    sent: Instant,
    attempts: u32,
}

enum Event {
    Arrive(usize),
    Submit(Request),
    Poll(usize),
    Complete(Request, Option<Permit>),
}

struct Run {
    case: Case,
    random: fastrand::Rng,
    clock: Clock<Event>,
    gates: Vec<Gate>,
    waiting_requests: Vec<BTreeMap<Waiter, Request>>,
    fifo_queues: Vec<VecDeque<Request>>,
    running: Vec<u32>,
    offered_tokens: [u64; TEAMS],
    served_tokens: [u64; TEAMS],
    latencies_ms: Vec<u64>,
    completed_on_time: u64,
    completed: u64,
}

/// Runs a case for two minutes of simulated time.
pub fn run(case: &Case, seed: u64) -> Metrics {
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
        waiting_requests: vec![BTreeMap::new(); NODES],
        fifo_queues: vec![VecDeque::new(); NODES],
        running: vec![0; NODES],
        offered_tokens: [0; TEAMS],
        served_tokens: [0; TEAMS],
        latencies_ms: Vec::new(),
        completed_on_time: 0,
        completed: 0,
    };
    for team in 0..TEAMS {
        run.clock.schedule_after(Duration::ZERO, Event::Arrive(team));
    }
    for node in 0..NODES {
        run.clock.schedule_after(Duration::ZERO, Event::Poll(node));
    }
    let end = Instant::ZERO + DURATION;
    while let Some(event) = run.clock.next_until(end) {
        run.step(event);
    }
    run.into_metrics()
}

impl Run {
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(team) => self.arrive(team),
            Event::Submit(request) => self.submit(request),
            Event::Poll(node) => {
                self.poll(node);
                self.clock.schedule_after(Duration::from_millis(100), Event::Poll(node));
            }
            Event::Complete(request, permit) => self.complete(request, permit),
        }
    }

    fn arrive(&mut self, team: usize) {
        let factor =
            if team == 0 { self.case.load.max(self.case.large_team_load) } else { self.case.load };
        let capacity = f64::from(SLOTS_PER_NODE) * NODES as f64 / TOKEN_TIME.as_secs_f64();
        let rate = factor * capacity / TEAMS as f64 / MEAN_TOKENS;
        let pause = -(1.0 - self.random.f64()).ln() / rate;
        self.clock.schedule_after(Duration::from_secs_f64(pause), Event::Arrive(team));
        let pinned = team == 0 && self.case.one_node;
        let node = if pinned { 0 } else { self.random.usize(0..NODES) };
        let tokens = self.random.u64(50..=450);
        self.offered_tokens[team] += tokens;
        let request = Request { team, node, tokens, sent: self.clock.now(), attempts: 0 };
        self.clock.schedule_after(CALLER_LATENCY, Event::Submit(request));
    }

    fn submit(&mut self, request: Request) {
        if self.case.queueing == Queueing::Fifo {
            self.fifo_queues[request.node].push_back(request);
            return self.start_queued(request.node);
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
                self.waiting_requests[request.node].insert(waiter, request);
            }
            Decision::Refuse(denial) => self.retry_refused(request, denial.retry_after()),
        }
    }

    /// Schedules the retry of a refused request after the delay that the refusal asked for.
    ///
    /// The caller gives up when its attempts are used up or the retry would be after the deadline.
    fn retry_refused(&mut self, request: Request, delay: Duration) {
        let attempts = request.attempts + 1;
        if attempts >= MAX_CALLER_ATTEMPTS || self.clock.now() + delay > request.sent + DEADLINE {
            return;
        }
        let pinned = request.team == 0 && self.case.one_node;
        let node = if pinned { 0 } else { self.random.usize(0..NODES) };
        self.clock.schedule_after(
            delay + CALLER_LATENCY * 2,
            Event::Submit(Request { node, attempts, ..request }),
        );
    }

    /// Starts requests from the FIFO queue on the free slots of a node.
    fn start_queued(&mut self, node: usize) {
        while self.running[node] < SLOTS_PER_NODE {
            let Some(request) = self.fifo_queues[node].pop_front() else { return };
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
                    let request = self.waiting_requests[node].remove(&waiter);
                    self.start(request.expect("the waiter is known"), Some(permit));
                }
                Outcome::Refuse(waiter, denial) => {
                    let request = self.waiting_requests[node].remove(&waiter);
                    let request = request.expect("the waiter is known");
                    self.retry_refused(request, denial.retry_after());
                }
            }
        }
    }

    fn start(&mut self, request: Request, permit: Option<Permit>) {
        let tokens = u32::try_from(request.tokens).expect("the token count fits in 32 bits");
        self.clock.schedule_after(TOKEN_TIME * tokens, Event::Complete(request, permit));
    }

    fn complete(&mut self, request: Request, permit: Option<Permit>) {
        let now = self.clock.now();
        let latency = now + CALLER_LATENCY - request.sent;
        self.completed += 1;
        self.served_tokens[request.team] += request.tokens;
        if latency <= DEADLINE {
            self.completed_on_time += 1;
        }
        if request.team != 0 {
            self.latencies_ms.push(u64::try_from(latency.as_millis()).unwrap_or(u64::MAX));
        }
        match permit {
            Some(permit) => {
                self.gates[request.node].finish(permit, Some(Tokens::new(request.tokens)), now);
                self.poll(request.node);
            }
            None => {
                self.running[request.node] -= 1;
                self.start_queued(request.node);
            }
        }
    }

    fn into_metrics(mut self) -> Metrics {
        let capacity = f64::from(SLOTS_PER_NODE) * NODES as f64 / TOKEN_TIME.as_secs_f64();
        let equal_share = capacity * DURATION.as_secs_f64() / TEAMS as f64;
        let share = |team: usize| {
            self.served_tokens[team] as f64
                / equal_share.min(self.offered_tokens[team] as f64).max(1.0)
        };
        let worst_share = (1..TEAMS).map(share).fold(f64::INFINITY, f64::min);
        self.latencies_ms.sort_unstable();
        let last = self.latencies_ms.len().saturating_sub(1);
        let p99_ms = self.latencies_ms.get(last * 99 / 100).copied().unwrap_or_default() as f64;
        let goodput_per_second = self.completed_on_time as f64 / DURATION.as_secs_f64();
        let late_share =
            (self.completed - self.completed_on_time) as f64 / self.completed.max(1) as f64;
        Metrics { worst_share, p99_ms, goodput_per_second, late_share }
    }
}

fn route() -> RouteId {
    "draft".parse().expect("the id is valid")
}

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().expect("the id is valid")
}

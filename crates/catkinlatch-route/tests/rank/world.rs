//! Simulated entry hosts, callers and targets, in steps of a millisecond.

use catkinlatch_base::{Instant, TeamId};
use catkinlatch_route::admission::rank::{Arrival, Queue, Returns, Step, Ticket};
use std::{collections::BTreeMap, time::Duration};

/// Objective of the route, in milliseconds.
pub const OBJECTIVE_MS: u64 = 400;

/// Longest wait, in milliseconds.
pub const LONGEST_WAIT_MS: u64 = 96;

/// Time of a caller, after which it gives up, in milliseconds.
const CALLER_MS: u64 = 1_500;

/// Time of a refusal on its way, in milliseconds.
const REFUSAL_MS: u64 = 3;

/// Backoff of a target after a refusal, in milliseconds.
const BACKOFF_MS: u64 = 60;

/// Pause of polling, in milliseconds.
const POLL_MS: u64 = 15;

/// How hosts treat requests that all targets refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each sleeps 15 ms and tries again; refused callers return after 150 ms.
    Polling,
    /// They wait in the order of their arrival.
    FirstCome,
    /// They wait in the queue by rank and team.
    Ranked,
}

/// Requests of one team.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    pub rank: u8,
    pub team: usize,
    /// Requests a second over all hosts.
    pub rate: f64,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub hosts: usize,
    pub targets: usize,
    pub slots: u32,
    pub run_ms: u64,
    pub sources: Vec<Source>,
    pub duration_ms: u64,
    /// Targets that fail at this time and return 5 s later.
    pub fault_at_ms: Option<u64>,
}

/// What callers of one source got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub asked: u32,
    /// Requests answered within the objective, counted from the first try.
    pub in_time: u32,
    /// Requests answered at last.
    pub served: u32,
    pub refusals: u32,
    /// Refusals of newcomers.
    pub first_refusals: u32,
    /// Refusals of callers on their first return.
    pub second_refusals: u32,
}

impl Got {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub got: Vec<Got>,
    /// Longest wait of a refused request, in milliseconds.
    pub longest_wait_ms: u64,
    /// When each refused caller was refused and when it returns, in milliseconds.
    pub returns: Vec<(u64, u64)>,
    /// Attempts at targets.
    pub attempts: u64,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Trying { target: usize, tried: u32, answer_at: u64 },
    Running { target: usize, until: u64 },
    Waiting,
    Polling { until: u64 },
    Away { until: u64 },
    Done,
}

/// What a host has seen of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    running: u32,
    backoff_until: u64,
}

struct Call {
    source: usize,
    host: usize,
    first_ms: u64,
    arrived_ms: u64,
    tries: u32,
    ticket: Option<Ticket>,
    state: State,
}

pub struct World<'a> {
    load: &'a Load,
    policy: Policy,
    random: fastrand::Rng,
    now: u64,
    running: Vec<u32>,
    seen: Vec<Vec<Seen>>,
    queues: Vec<Queue>,
    owners: Vec<BTreeMap<Ticket, usize>>,
    returns: Vec<Returns<usize>>,
    calls: Vec<Call>,
    open: Vec<usize>,
    outcome: Outcome,
}

impl<'a> World<'a> {
    pub fn run(load: &'a Load, policy: Policy, seed: u64) -> Outcome {
        let mut world = Self {
            load,
            policy,
            random: fastrand::Rng::with_seed(seed),
            now: 0,
            running: vec![0; load.targets],
            seen: vec![vec![Seen::default(); load.targets]; load.hosts],
            queues: (0..load.hosts).map(|_| Queue::default()).collect(),
            owners: vec![BTreeMap::new(); load.hosts],
            returns: (0..load.hosts).map(|_| Returns::default()).collect(),
            calls: Vec::new(),
            open: Vec::new(),
            outcome: Outcome {
                got: vec![Got::default(); load.sources.len()],
                ..Outcome::default()
            },
        };
        while world.now < load.duration_ms {
            world.arrive();
            for call in world.open.clone() {
                world.advance(call);
            }
            (0..load.hosts).for_each(|host| world.poll(host));
            let calls = &world.calls;
            world.open.retain(|call| !matches!(calls[*call].state, State::Done));
            world.now += 1;
        }
        world.outcome
    }

    fn at(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn slots(&self, target: usize) -> u32 {
        let is_down = |at| target == 0 && (at..at + 5_000).contains(&self.now);
        if self.load.fault_at_ms.is_some_and(is_down) { 0 } else { self.load.slots }
    }

    fn arrive(&mut self) {
        for source in 0..self.load.sources.len() {
            if self.random.f64() < self.load.sources[source].rate / 1_000.0 {
                let host = self.random.usize(..self.load.hosts);
                let now = self.now;
                self.calls.push(Call {
                    source,
                    host,
                    first_ms: now,
                    arrived_ms: now,
                    tries: 0,
                    ticket: None,
                    state: State::Done,
                });
                self.outcome.got[source].asked += 1;
                self.open.push(self.calls.len() - 1);
                self.enter(self.calls.len() - 1);
            }
        }
    }

    fn enter(&mut self, call: usize) {
        let now = self.at();
        let Call { source, host, .. } = self.calls[call];
        self.calls[call].arrived_ms = self.now;
        self.calls[call].tries += 1;
        if self.policy == Policy::Polling {
            return self.try_targets(call);
        }
        let Source { rank, team, .. } = self.load.sources[source];
        let is_return = self.returns[host].contains(&call, now);
        let team: TeamId = format!("team-{team}").parse().unwrap();
        let give_up_at = now + Duration::from_millis(LONGEST_WAIT_MS - POLL_MS);
        let arrival = match self.policy {
            Policy::Ranked => Arrival { rank, team: Some(team), is_return, give_up_at },
            _ => Arrival { rank: 0, team: None, is_return: false, give_up_at },
        };
        let (ticket, step) = self.queues[host].enter(arrival, now);
        self.calls[call].ticket = Some(ticket);
        self.owners[host].insert(ticket, call);
        self.follow(call, step);
    }

    fn follow(&mut self, call: usize, step: Step) {
        match step {
            Step::Run => self.try_targets(call),
            Step::Wait => self.calls[call].state = State::Waiting,
            Step::Refuse(_) => self.refuse(call),
        }
    }

    fn try_targets(&mut self, call: usize) {
        self.try_next(call, 0);
    }

    /// Tries the target with the shortest backoff and the fewest own requests of those not `tried`.
    fn try_next(&mut self, call: usize, tried: u32) {
        let host = self.calls[call].host;
        let seen = &self.seen[host];
        let untried = (0..self.load.targets).filter(|target| tried & (1 << target) == 0);
        let random = &mut self.random;
        let target = untried.min_by_key(|target| {
            let Seen { backoff_until, running } = seen[*target];
            (backoff_until.saturating_sub(self.now), running, random.u32(..))
        });
        let Some(target) = target else { return self.wait(call) };
        self.outcome.attempts += 1;
        self.seen[host][target].running += 1;
        let (tried, answer_at) = (tried | 1 << target, self.now + REFUSAL_MS);
        self.calls[call].state = State::Trying { target, tried, answer_at };
    }

    fn advance(&mut self, call: usize) {
        let now = self.now;
        match self.calls[call].state {
            State::Trying { target, tried, answer_at } if now >= answer_at => {
                if self.running[target] < self.slots(target) {
                    self.running[target] += 1;
                    let run_ms = (self.load.run_ms as f64 * (0.6 + 0.8 * self.random.f64())) as u64;
                    self.calls[call].state = State::Running { target, until: now + run_ms };
                } else {
                    let seen = &mut self.seen[self.calls[call].host][target];
                    seen.running -= 1;
                    seen.backoff_until = now + BACKOFF_MS;
                    self.try_next(call, tried);
                }
            }
            State::Running { target, until } if now >= until => {
                self.running[target] -= 1;
                let seen = &mut self.seen[self.calls[call].host][target];
                *seen = Seen { running: seen.running - 1, backoff_until: 0 };
                self.end(call);
            }
            State::Polling { until } if now >= until => self.try_targets(call),
            State::Away { until } if now >= until => self.enter(call),
            _ => {}
        }
    }

    fn wait(&mut self, call: usize) {
        let Call { host, arrived_ms, ticket, .. } = self.calls[call];
        if let Some(ticket) = ticket {
            self.queues[host].requeue(ticket, Instant::from_millis(self.now));
            self.calls[call].state = State::Waiting;
        } else if self.now + POLL_MS < arrived_ms + LONGEST_WAIT_MS {
            self.calls[call].state = State::Polling { until: self.now + POLL_MS };
        } else {
            self.refuse(call);
        }
    }

    fn refuse(&mut self, call: usize) {
        let Call { source, host, first_ms, arrived_ms, tries, .. } = self.calls[call];
        let got = &mut self.outcome.got[source];
        got.refusals += 1;
        got.first_refusals += u32::from(tries == 1);
        got.second_refusals += u32::from(tries == 2);
        self.outcome.longest_wait_ms = self.outcome.longest_wait_ms.max(self.now - arrived_ms);
        let at = self.at();
        let after = match self.policy {
            Policy::Polling => Duration::from_millis(150),
            _ => {
                let most = Duration::from_millis(CALLER_MS / 3);
                self.queues[host].retry_after(
                    self.load.sources[source].rank,
                    most,
                    at,
                    &mut self.random,
                )
            }
        };
        if let Some(ticket) = self.calls[call].ticket.take() {
            self.owners[host].remove(&ticket);
            self.returns[host].remember(call, after, at);
        }
        let until = self.now + after.as_millis() as u64;
        self.outcome.returns.push((self.now, until));
        let returns = until < first_ms + CALLER_MS;
        self.calls[call].state = if returns { State::Away { until } } else { State::Done };
    }

    fn end(&mut self, call: usize) {
        let Call { source, host, first_ms, .. } = self.calls[call];
        let at = self.at();
        if let Some(ticket) = self.calls[call].ticket.take() {
            self.queues[host].end(ticket, at);
            self.owners[host].remove(&ticket);
        }
        let got = &mut self.outcome.got[source];
        got.served += 1;
        got.in_time += u32::from(self.now <= first_ms + OBJECTIVE_MS);
        self.calls[call].state = State::Done;
    }

    fn poll(&mut self, host: usize) {
        let at = self.at();
        while let Some((ticket, step)) = self.queues[host].poll(at) {
            let call = self.owners[host][&ticket];
            self.follow(call, step);
        }
    }
}

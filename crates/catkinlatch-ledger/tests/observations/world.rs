//! A seeded simulation of senders, targets and the leader's hub, in steps of 5 ms.

use super::target;
use catkinlatch_base::{HostId, Incarnation, Instant, Ratio, TargetId, Term};
use catkinlatch_ledger::{
    Balancer, Target,
    balancer::Verdict,
    observation::{Change, Event, Guide, Hub, Load, Observation, Selection, free_share, select},
};
use catkinlatch_route::Budget;
use std::{collections::BTreeSet, time::Duration};

const STEP_MS: u64 = 5;
const SLOTS: u32 = 6;
const QUEUE: usize = 6;
const DEADLINE_MS: u64 = 2_000;
const ATTEMPT_MS: u64 = 1_200;
const OBJECTIVE: Duration = Duration::from_millis(400);
const REPORT_MS: u64 = 500;
const LEASE: Duration = Duration::from_millis(1_500);
const MAX_SENDS: usize = 4;

/// How senders select targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Each by what it has observed itself: `Balancer::pick`.
    Own,
    /// First come, first served, by the true number of requests at each target.
    LeastLoad,
    /// By what all have observed.
    Shared,
}

/// The load that is played.
#[derive(Clone, Debug)]
pub struct Play {
    pub senders: usize,
    pub targets: usize,
    pub seconds: u64,
    /// Whether targets are slow (pace 250) for 0.6 s at a time, 15% of the time.
    pub is_slow: bool,
    /// The share of requests that the first target fails after 20 ms.
    pub failing: f64,
    /// When the first target falls silent, and when it answers again, in seconds.
    pub silent: Option<(u64, u64)>,
    /// The leader's scoring calls a second.
    pub scoring: f64,
    /// The number of senders that report each half second that the last target fails, is full and
    /// slow.
    pub liars: usize,
    /// When the leader stops answering, in seconds.
    pub leaderless_from: u64,
    pub has_second_sends: bool,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            senders: 60,
            targets: 5,
            seconds: 60,
            is_slow: false,
            failing: 0.0,
            silent: None,
            scoring: 20.0,
            liars: 0,
            leaderless_from: u64::MAX,
            has_second_sends: true,
        }
    }
}

/// What callers of live requests got.
#[derive(Debug, Default)]
pub struct Report {
    pub ms: Vec<u64>,
    pub failures: usize,
    pub sends: usize,
    pub second_sends: usize,
    /// Live requests that each target got.
    pub by_target: Vec<usize>,
    pub changes: Vec<(u64, Change)>,
    /// The most targets in cooldown at a time, and the most senders that retried one at a time.
    pub max_cooling: usize,
    pub max_retries: usize,
}

impl Report {
    pub fn mean(&self) -> f64 {
        self.ms.iter().sum::<u64>() as f64 / self.ms.len() as f64
    }

    pub fn percentile(&self, share: f64) -> u64 {
        let mut sorted = self.ms.clone();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }
}

struct Attempt {
    request: usize,
    target: usize,
    sent_ms: u64,
    left_ms: f64,
    /// How it ends: answered, failed or never.
    event: Event,
    is_retry: bool,
}

struct Request {
    sender: usize,
    arrived_ms: u64,
    tried: BTreeSet<TargetId>,
    sends: usize,
    has_second: bool,
    done: bool,
}

struct Sender {
    host: HostId,
    balancer: Balancer,
    guide: Guide,
    budget: Budget,
}

struct Machine {
    target: Target,
    slow_until: u64,
    next_slow: u64,
    /// In order of arrival; the first [`SLOTS`] run.
    attempts: Vec<Attempt>,
}

struct World {
    play: Play,
    policy: Policy,
    random: fastrand::Rng,
    now_ms: u64,
    machines: Vec<Machine>,
    /// The entry hosts, and at the end the leader.
    senders: Vec<Sender>,
    requests: Vec<Request>,
    hub: Hub,
    report: Report,
}

/// Plays a load with a policy.
pub fn play(play: &Play, policy: Policy, seed: u64) -> Report {
    let mut random = fastrand::Rng::with_seed(seed);
    let machine = |number: usize| Machine {
        target: target(&format!("t{number}"), &format!("zone-{}", number % 3)),
        slow_until: 0,
        next_slow: random.u64(0..7_000),
        attempts: Vec::new(),
    };
    let machines: Vec<Machine> = (0..play.targets).map(machine).collect();
    let sender = |number: usize| Sender {
        host: format!("host-{number}").parse().unwrap(),
        balancer: Balancer::default(),
        guide: Guide::default(),
        budget: Budget::new(Ratio::new(0.05), Instant::ZERO),
    };
    let senders: Vec<Sender> = (0..=play.senders).map(sender).collect();
    let hub = Hub::new(senders[play.senders].host.clone());
    let report = Report { by_target: vec![0; play.targets], ..Report::default() };
    let (play, requests) = (play.clone(), Vec::new());
    let mut world =
        World { play, policy, random, now_ms: 0, machines, senders, requests, hub, report };
    while world.now_ms < world.play.seconds * 1_000 {
        world.step();
    }
    world.report
}

impl World {
    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn has_leader(&self) -> bool {
        self.now_ms < self.play.leaderless_from.saturating_mul(1_000)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        for machine in self.machines.iter_mut().filter(|_| self.play.is_slow) {
            if self.now_ms >= machine.next_slow {
                machine.slow_until = self.now_ms + 600;
                // Slow for 0.6 s and usual for 3.4 s on average: 15% of the time.
                machine.next_slow = machine.slow_until + self.random.u64(1_400..5_400);
            }
        }
        for sender in 0..self.play.senders {
            if self.random.f64() < STEP_MS as f64 / 6_000.0 {
                self.arrive(sender);
            }
        }
        if self.has_leader() && self.random.f64() < self.play.scoring * STEP_MS as f64 / 1_000.0 {
            self.arrive(self.play.senders);
        }
        (0..self.machines.len()).for_each(|machine| self.run(machine));
        if self.policy == Policy::Shared && self.has_leader() {
            if self.hub.is_due(now) {
                let targets = self.machines.iter().map(|machine| &machine.target);
                let balancer = &self.senders[self.play.senders].balancer;
                let running = |id: &TargetId| balancer.running(id);
                self.hub.update(targets, self.play.senders, running, now);
            }
            for sender in 0..self.play.senders {
                if (self.now_ms + sender as u64 * STEP_MS).is_multiple_of(REPORT_MS) {
                    self.exchange(sender);
                }
            }
            let changes = self.hub.take_changes();
            self.report.changes.extend(changes.into_iter().map(|change| (self.now_ms, change)));
            let machines = self.machines.iter();
            let cooling = machines.filter(|m| self.hub.is_in_cooldown(&m.target.id)).count();
            self.report.max_cooling = self.report.max_cooling.max(cooling);
        }
        let retries =
            self.machines.iter().map(|m| m.attempts.iter().filter(|a| a.is_retry).count());
        self.report.max_retries = self.report.max_retries.max(retries.max().unwrap_or_default());
    }

    fn exchange(&mut self, number: usize) {
        let now = self.now();
        let leader = self.play.senders;
        let mut news = self.senders[number].guide.take_news(now);
        if number < self.play.liars {
            let lie = &self.machines[self.play.targets - 1].target;
            news.observations = vec![Observation {
                target: lie.id.clone(),
                born_ms: lie.born_ms,
                age_ms: 0,
                running: 60,
                waiting: 60,
                pace: Some(1_000),
                cold_ms: 0,
                answers: 0,
                refusals: 9,
                failures: 1_000,
                silences: 1_000,
                leader_running: 0,
            }];
        }
        let Sender { host, .. } = &self.senders[number];
        let balancer = &self.senders[leader].balancer;
        let source = (host, Incarnation::new(1), news.sequence);
        let running = |id: &TargetId| balancer.running(id);
        self.hub.record_report(source, &news.observations, &news.durations, running, now);
        let digest = self.hub.digest().clone();
        let Sender { balancer, guide, .. } = &mut self.senders[number];
        guide.adopt(Term::default(), (now, LEASE), digest, |id| balancer.running(id), now);
    }

    /// Reports ahead of time where the sender would do so.
    fn refresh(&mut self, sender: usize) {
        let (now, service) = (self.now(), &self.machines[0].target.service);
        let is_due = self.senders[sender].guide.is_refresh_due(service, now);
        if is_due && self.policy == Policy::Shared && self.has_leader() {
            self.exchange(sender);
        }
    }

    fn arrive(&mut self, sender: usize) {
        let (tried, arrived_ms) = (BTreeSet::new(), self.now_ms);
        let request =
            Request { sender, arrived_ms, tried, sends: 0, has_second: false, done: false };
        self.requests.push(request);
        let now = self.now();
        self.senders[sender].budget.earn(now);
        self.refresh(sender);
        self.send(self.requests.len() - 1);
    }

    /// Selects a target as the policy does; returns whether it is a retry of one in cooldown.
    fn select(&mut self, request: usize) -> Option<(usize, bool)> {
        let (now, random) = (self.now(), self.random.f64());
        let Request { sender, tried, .. } = &self.requests[request];
        let Sender { host, balancer, guide, .. } = &self.senders[*sender];
        let zone = format!("zone-{}", sender % 3).parse().unwrap();
        let targets = || self.machines.iter().map(|machine| &machine.target);
        let position = |id: &TargetId| targets().position(|target| target.id == *id).unwrap();
        let is_leader = *sender == self.play.senders;
        let service = &self.machines[0].target.service;
        let is_on =
            if is_leader { self.hub.is_on(service, now) } else { guide.is_on(service, now) };
        match self.policy {
            Policy::LeastLoad => {
                let untried = (0..self.machines.len())
                    .filter(|number| !tried.contains(&self.machines[*number].target.id));
                untried.min_by_key(|n| self.machines[*n].attempts.len()).map(|n| (n, false))
            }
            Policy::Shared if is_on => {
                let open = match is_leader {
                    true => self.hub.open(targets(), now),
                    false => guide.open(targets()),
                };
                let open = open.filter(|open| !tried.contains(&open.id)).cloned();
                if let Some(open) = open.filter(|_| self.has_leader())
                    && self.hub.grant_retry(host, &open.id, now)
                {
                    return Some((position(&open.id), true));
                }
                let table = if is_leader { self.hub.table() } else { guide.table() };
                let selection = Selection { table, balancer, zone: &zone, tried, now, random };
                let target = select(&selection, targets(), |target| match is_leader {
                    true => self.hub.is_in_cooldown(&target.id),
                    false => guide.is_in_cooldown(target),
                });
                target.map(|target| (position(&target.id), false))
            }
            Policy::Own | Policy::Shared => {
                balancer.pick(targets(), &zone, tried, now).map(|t| (position(&t.id), false))
            }
        }
    }

    fn send(&mut self, request: usize) {
        loop {
            let Request { sends, sender, .. } = self.requests[request];
            let selected = self.select(request).filter(|_| sends < MAX_SENDS);
            let Some((number, is_retry)) = selected else {
                return self.end_request(request, false);
            };
            let now = self.now();
            let (id, born_ms) = {
                let target = &self.machines[number].target;
                (target.id.clone(), target.born_ms)
            };
            self.requests[request].tried.insert(id.clone());
            self.senders[sender].balancer.begin(&id);
            if self.machines[number].attempts.len() >= SLOTS as usize + QUEUE {
                self.senders[sender].balancer.end(&id, Verdict::Full, now);
                self.senders[sender].guide.record((&id, born_ms), Event::Refused, now);
                continue;
            }
            self.requests[request].sends += 1;
            let silent = self.play.silent.filter(|_| number == 0);
            let event = match silent {
                Some((from, to)) if (from..to).contains(&(self.now_ms / 1_000)) => Event::Silent,
                _ if number == 0 && self.random.f64() < self.play.failing => Event::Failed,
                _ => Event::Answered,
            };
            let left_ms = match event {
                Event::Failed => 20.0,
                _ => 75.0 + 150.0 * self.random.f64(),
            };
            let sent_ms = self.now_ms;
            let attempt = Attempt { request, target: number, sent_ms, left_ms, event, is_retry };
            self.machines[number].attempts.push(attempt);
            if sender < self.play.senders {
                self.report.sends += 1;
                self.report.by_target[number] += 1;
            }
            return;
        }
    }

    /// Advances the attempts of a target by one step.
    fn run(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let machine = &mut self.machines[number];
        let pace = if now_ms < machine.slow_until { 2.5 } else { 1.0 };
        for attempt in machine.attempts.iter_mut().take(SLOTS as usize) {
            if attempt.event != Event::Silent {
                attempt.left_ms -= STEP_MS as f64 / pace;
            }
        }
        let is_over = |attempt: &mut Attempt| {
            attempt.left_ms <= 0.0 || now_ms >= attempt.sent_ms + ATTEMPT_MS
        };
        let over: Vec<Attempt> = machine.attempts.extract_if(.., is_over).collect();
        let running = machine.attempts.len().min(SLOTS as usize) as u32;
        let waiting = machine.attempts.len() as u32 - running;
        let load = Load { running, waiting, pace: Some((pace * 100.0) as u32) };
        for attempt in over {
            self.end_attempt(attempt, load);
        }
        self.send_late_again(number);
    }

    fn end_attempt(&mut self, attempt: Attempt, load: Load) {
        let now = self.now();
        let target = self.machines[attempt.target].target.clone();
        let sender = self.requests[attempt.request].sender;
        let event = if attempt.left_ms > 0.0 { Event::Silent } else { attempt.event };
        let took = Duration::from_millis(self.now_ms - attempt.sent_ms);
        let Sender { balancer, guide, .. } = &mut self.senders[sender];
        balancer.end(
            &target.id,
            match event {
                Event::Answered => Verdict::Answered(took),
                Event::Refused | Event::Failed | Event::Silent => Verdict::Failed,
            },
            now,
        );
        let own = balancer.running(&target.id);
        if sender == self.play.senders {
            self.hub.record(&target, event, took, now);
        } else {
            guide.record((&target.id, target.born_ms), event, now);
        }
        if event != Event::Silent {
            balancer.report(&target.id, load.running, load.waiting, now);
            if sender == self.play.senders {
                self.hub.record_load(&target, load, own, now);
            } else {
                guide.record_load((&target.id, target.born_ms), load, own, now);
            }
        }
        if event == Event::Answered {
            guide.record_duration(&target.service, took);
            self.refresh(sender);
            return self.end_request(attempt.request, true);
        }
        let is_alone = !self
            .machines
            .iter()
            .any(|machine| machine.attempts.iter().any(|other| other.request == attempt.request));
        let arrived_ms = self.requests[attempt.request].arrived_ms;
        if is_alone && !self.requests[attempt.request].done {
            match self.now_ms < arrived_ms + DEADLINE_MS {
                true => self.send(attempt.request),
                false => self.end_request(attempt.request, false),
            }
        }
    }

    /// Sends late requests of a target a second time.
    fn send_late_again(&mut self, number: usize) {
        if self.policy != Policy::Shared || !self.play.has_second_sends {
            return;
        }
        let (now, now_ms) = (self.now(), self.now_ms);
        let attempts = self.machines[number].attempts.iter();
        let attempts: Vec<(usize, u64)> = attempts.map(|a| (a.request, a.sent_ms)).collect();
        for (request, sent_ms) in attempts {
            let Request { sender, has_second, sends, .. } = self.requests[request];
            if has_second || sends >= MAX_SENDS || sender == self.play.senders {
                continue;
            }
            let service = self.machines[number].target.service.clone();
            let late = self.senders[sender].guide.late_after(&service, OBJECTIVE, now);
            if late.is_none_or(|late| now_ms - sent_ms < late.as_millis() as u64) {
                continue;
            }
            let Some((other, false)) = self.select(request) else { continue };
            let zone = "zone-0".parse().unwrap();
            let Sender { balancer, guide, budget, .. } = &mut self.senders[sender];
            let tried = &self.requests[request].tried;
            let table = guide.table();
            let selection = Selection { table, balancer, zone: &zone, tried, now, random: 0.0 };
            let is_free = free_share(&selection, &self.machines[other].target) > 0.5;
            if is_free && budget.take(now) {
                self.requests[request].has_second = true;
                self.report.second_sends += 1;
                self.send(request);
            }
        }
    }

    fn end_request(&mut self, request: usize, is_answered: bool) {
        let now = self.now();
        let Request { sender, arrived_ms, done, .. } = self.requests[request];
        if done {
            return;
        }
        self.requests[request].done = true;
        for machine in &mut self.machines {
            let is_same = |attempt: &mut Attempt| attempt.request == request;
            for lost in machine.attempts.extract_if(.., is_same) {
                let Sender { balancer, guide, .. } = &mut self.senders[sender];
                balancer.end(&machine.target.id, Verdict::Unknown, now);
                let took = Duration::from_millis(self.now_ms - lost.sent_ms);
                if guide.is_silence(&machine.target.service, took, now) {
                    let start = (&machine.target.id, machine.target.born_ms);
                    guide.record(start, Event::Silent, now);
                }
            }
        }
        if sender == self.play.senders {
            return;
        }
        match is_answered {
            true => self.report.ms.push(self.now_ms - arrived_ms),
            false => self.report.failures += 1,
        }
    }
}

//! A simulation of senders to one cold target: hosts with shares, and leaders that grant them.

use catkinlatch_base::Instant;
use catkinlatch_route::allowance::{Asked, Division, Holder, Limit, SPAN};
use std::time::Duration;

/// The planned limit of the target.
pub const PLANNED: u32 = 14;

/// The limit of the target.
pub const LIMIT: Limit = Limit { planned: PLANNED, span: SPAN };

const LEASE: Duration = Duration::from_millis(1_500);
const START: &str = "target";

/// A host that sends requests.
#[derive(Default)]
pub struct Host {
    /// Requests a second that arrive at the host.
    pub rate: f64,
    /// Number of requests that wait for allowance.
    pub waiting: u32,
    holder: Holder<&'static str>,
    incarnation: u32,
    reports: u64,
    report_at: u64,
    frozen_until: u64,
    cut_until: u64,
}

struct Leader {
    division: Division<&'static str, (usize, u32)>,
    lease_until: u64,
    frozen_until: u64,
}

/// A message with the host and start of the process that it concerns.
#[derive(Clone)]
struct Message {
    at: u64,
    host: usize,
    incarnation: u32,
    sent_at: u64,
    /// The leader that is asked or answers.
    term: usize,
    asked: Asked,
    /// The share that the leader grants; `None` in a report.
    share: Option<u32>,
}

/// All senders, and what they have sent.
pub struct World {
    pub hosts: Vec<Host>,
    /// Requests a second of the leader's own.
    pub leader_rate: f64,
    pub is_faulty: bool,
    pub limit: Limit,
    /// When each request was sent, in milliseconds, and whether by a leader.
    pub sends: Vec<(u64, bool)>,
    leaders: Vec<Leader>,
    messages: Vec<Message>,
    random: fastrand::Rng,
    now: u64,
}

impl World {
    pub fn new(seed: u64, hosts: usize) -> Self {
        let division = Division::new(None, Instant::ZERO);
        let leader = Leader { division, lease_until: u64::MAX, frozen_until: 0 };
        Self {
            hosts: (0..hosts).map(|_| Host::default()).collect(),
            leader_rate: 0.0,
            is_faulty: true,
            limit: LIMIT,
            sends: Vec::new(),
            leaders: vec![leader],
            messages: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            now: 0,
        }
    }

    /// Simulates a time in milliseconds.
    pub fn run(&mut self, millis: u64) {
        for now in 0..millis {
            self.now = now;
            if self.is_faulty {
                self.inject();
            }
            self.deliver();
            (0..self.hosts.len()).for_each(|host| self.step(host));
            let is_leading = self.is_leading(self.leaders.len() - 1);
            if is_leading && self.random.f64() < self.leader_rate / 1_000.0 {
                let leader = self.leaders.last_mut().expect("there is a leader");
                if leader.division.admit_own(&START, self.limit, 1, Instant::from_millis(now)) {
                    self.sends.push((now, true));
                }
            }
        }
    }

    /// Returns whether a leader acts: a frozen one does not, and one that was frozen for longer
    /// than its lease is no longer the leader.
    fn is_leading(&self, term: usize) -> bool {
        let leader = &self.leaders[term];
        self.now >= leader.frozen_until && self.now < leader.lease_until
    }

    fn inject(&mut self) {
        let host = self.random.usize(..self.hosts.len());
        let until = self.now + self.random.u64(100..2_500);
        match self.random.u32(..4_000) {
            0..4 => self.hosts[host].frozen_until = until,
            4..8 => self.hosts[host].cut_until = until,
            8..12 => {
                let old = &self.hosts[host];
                let (rate, incarnation) = (old.rate, old.incarnation + 1);
                self.hosts[host] = Host { rate, incarnation, ..Host::default() };
            }
            12..16 => self.hosts[host].rate = self.random.f64() * 12.0,
            16..20 => self.leader_rate = self.random.f64() * 40.0,
            20 | 21 if self.is_leading(self.leaders.len() - 1) => {
                // The leader freezes, its lease runs out, and another one takes over.
                let last = self.leaders.last_mut().expect("there is a leader");
                (last.frozen_until, last.lease_until) = (until, self.now);
                let now = Instant::from_millis(self.now);
                let division = Division::new(Some(LEASE), now);
                let leader = Leader { division, lease_until: u64::MAX, frozen_until: 0 };
                self.leaders.push(leader);
            }
            _ => {}
        }
    }

    fn post(&mut self, mut message: Message) {
        let copies = match self.random.u32(..20) {
            0 if self.is_faulty => 0,
            1 if self.is_faulty => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_late = self.is_faulty && self.random.u32(..20) == 0;
            message.at = self.now + if is_late { self.random.u64(..2_000) } else { 2 };
            self.messages.push(message.clone());
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for mut message in self.messages.extract_if(.., |m| m.at <= now).collect::<Vec<_>>() {
            let host = &mut self.hosts[message.host];
            if now < host.cut_until {
                continue;
            }
            let Some(share) = message.share else {
                if now < self.leaders[message.term].frozen_until {
                    message.at = now + 1;
                    self.messages.push(message);
                } else if self.is_leading(message.term) {
                    let at = Instant::from_millis(now);
                    let key = (message.host, message.incarnation);
                    let (asked, planned) = (message.asked, (self.limit, 1));
                    let division = &mut self.leaders[message.term].division;
                    let share = division.grant(&START, &key, asked, planned, LEASE, at);
                    self.post(Message { share: Some(share), ..message });
                }
                continue;
            };
            if now < host.frozen_until {
                message.at = now + 1;
                self.messages.push(message);
            } else if (host.incarnation, host.reports)
                == (message.incarnation, message.asked.number)
            {
                // A reply that comes after the next report was sent is not waited for any more.
                let until = Instant::from_millis(message.sent_at) + LEASE;
                host.holder.accept(&START, share, self.limit.span, until);
            }
        }
    }

    fn step(&mut self, number: usize) {
        let (now, at) = (self.now, Instant::from_millis(self.now));
        let host = &mut self.hosts[number];
        host.waiting += u32::from(self.random.f64() < host.rate / 1_000.0);
        host.waiting = host.waiting.min(10);
        if now < host.frozen_until {
            return;
        }
        while host.waiting > 0 && host.holder.admit(&START, 1, at) {
            host.waiting -= 1;
            self.sends.push((now, false));
        }
        let is_due = now >= host.report_at || host.waiting > 0 && now + 475 >= host.report_at;
        if !is_due {
            return;
        }
        host.report_at = now + 500;
        let Some(demand) = host.holder.take_demands(at).pop() else { return };
        host.reports += 1;
        let (wanted, used, idle) = (demand.wanted, demand.used, demand.idle);
        let asked = Asked { number: host.reports, wanted, used, idle };
        let (incarnation, term) = (host.incarnation, self.leaders.len() - 1);
        if now >= host.cut_until {
            let (host, at, sent_at, share) = (number, now, now, None);
            self.post(Message { at, host, incarnation, sent_at, term, asked, share });
        }
    }
}

/// Returns the most requests in any span of one second of sorted times in milliseconds.
pub fn most_in_a_second(sorted: &[u64]) -> usize {
    most_in(1_000, sorted)
}

/// Returns the most requests in any span of sorted times, all in milliseconds.
pub fn most_in(span: u64, sorted: &[u64]) -> usize {
    let in_span = |(index, start): (usize, &u64)| {
        sorted[index..].iter().take_while(|sent| **sent <= start + span).count()
    };
    sorted.iter().enumerate().map(in_span).max().unwrap_or(0)
}

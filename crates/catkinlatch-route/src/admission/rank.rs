//! Queue of one sender's requests for the slots of one service, ordered by rank.
//!
//! The sender does not see the slots: targets refuse what they have no room for. A request that all
//! targets refused waits here, and the one at the head tries again when a slot may be free.

mod account;
mod arrival;
mod bound;
mod pace;
mod returns;

pub use self::{
    account::Flow,
    arrival::{Arrival, Load, Reason, Step},
    returns::Returns,
};

use self::{
    account::{Accounts, Candidate, Charge},
    pace::Pace,
};
use catkinlatch_base::Instant;
use slotmap::SlotMap;
use std::{collections::BTreeSet, mem, time::Duration};

slotmap::new_key_type! {
    /// Identifies a request of a queue.
    pub struct Ticket;
}

/// Maximum number of requests that wait for one service. A sender that has more of them waiting
/// could not serve the last ones within the time that callers wait.
pub const MAX_WAITING: usize = 64;

/// Time after a refusal until the next attempt. A refusal arrives within a few milliseconds, and a
/// slot is used for about 150 ms, so a freed one is unused for a tenth of that at most.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(15);

/// Longest time after a refusal until the next attempt.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(40);

/// Most requests that start in one [`PROBE_INTERVAL`] while targets refuse none.
const MAX_BURST: u32 = 16;

/// Time without a waiting request after which the queue forgets who was served.
const MEMORY: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    sequence: u64,
    /// What the request was charged when it started, until it ends.
    charge: Option<Charge>,
    /// When it last started.
    started_at: Instant,
}

/// The requests of one sender for one service.
///
/// ```
/// use catkinlatch_base::Instant;
/// use catkinlatch_route::admission::rank::{Arrival, Queue, Step};
///
/// let arrival = |rank| Arrival {
///     rank,
///     team: None,
///     is_return: false,
///     give_up_at: Instant::from_millis(96),
/// };
/// let mut queue = Queue::default();
/// let (low, step) = queue.enter(arrival(2), Instant::ZERO);
/// assert_eq!(step, Step::Run);
/// queue.requeue(low, Instant::ZERO);
/// let (high, step) = queue.enter(arrival(0), Instant::ZERO);
/// assert_eq!(step, Step::Run);
/// queue.requeue(high, Instant::ZERO);
/// assert_eq!(queue.poll(Instant::ZERO), None);
/// assert_eq!(queue.poll(Instant::from_millis(15)), Some((high, Step::Run)));
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    requests: SlotMap<Ticket, Request>,
    waiting: BTreeSet<Ticket>,
    /// Requests that are refused although their time is not over.
    evicted: Vec<Ticket>,
    next_sequence: u64,
    limit: Option<u32>,
    /// When the next request may start after a refusal.
    next_attempt: Instant,
    /// Number of requests that may still start before `next_attempt` is set again.
    burst_left: u32,
    /// Number of requests that may start in the next interval.
    burst: u32,
    /// Whether a slot has become free that a request may get which tries the targets.
    is_slot_free: bool,
    accounts: Accounts,
    pace: Pace,
    last_used: Instant,
}

impl Queue {
    /// Sets how many requests may run at once; `None` leaves this to the targets.
    pub fn set_limit(&mut self, limit: Option<u32>, now: Instant) {
        let has_grown = limit.unwrap_or(u32::MAX) > self.limit.unwrap_or(u32::MAX);
        self.limit = limit;
        if has_grown {
            // The places of a limit are free, unlike those that targets are asked for.
            let free = limit.unwrap_or(1).saturating_sub(self.running());
            self.next_attempt = self.next_attempt.min(now);
            self.burst_left = self.burst_left.max(free);
        }
    }

    /// Returns whether a request waits that the limit alone keeps from starting.
    pub fn is_limited(&self) -> bool {
        !self.waiting.is_empty() && !self.has_place()
    }

    /// Adds a request. It runs at once if it is the first in order and the limit allows it.
    ///
    /// A refused request has left the queue. A full queue refuses the last in order, which
    /// [`Queue::poll`] returns if it is not the new one.
    pub fn enter(&mut self, arrival: Arrival, now: Instant) -> (Ticket, Step) {
        self.expire(now);
        let give_up_at = arrival.give_up_at;
        let flow = arrival.flow();
        if !self.waiting.iter().any(|other| self.requests[*other].arrival.flow() == flow) {
            self.accounts.activate(&flow);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let request = Request { arrival, sequence, charge: None, started_at: Instant::ZERO };
        let ticket = self.requests.insert(request);
        self.waiting.insert(ticket);
        if self.has_place() && self.head() == Some(ticket) {
            self.start(ticket, now);
            return (ticket, Step::Run);
        }
        if self.waiting.len() > MAX_WAITING
            && let Some(last) = self.last()
        {
            self.waiting.remove(&last);
            if last == ticket {
                self.requests.remove(ticket);
                return (ticket, Step::Refuse(Reason::QueueFull));
            }
            self.evicted.push(last);
        }
        let before = self.count_before(ticket);
        // Half the expected wait is exceeded almost always.
        if self.pace.wait(before, now).is_some_and(|wait| now + wait / 2 > give_up_at) {
            self.waiting.remove(&ticket);
            self.requests.remove(ticket);
            return (ticket, Step::Refuse(Reason::TooManyBefore));
        }
        (ticket, Step::Wait)
    }

    /// Puts a request that all targets refused back to its place in the order.
    pub fn requeue(&mut self, ticket: Ticket, now: Instant) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if let Some(charge) = request.charge.take() {
            self.accounts.refund(charge);
        }
        self.waiting.insert(ticket);
        // Where own requests end often, they show which slots are free, and attempts in between
        // keep the first in order from taking them.
        let pause = self.pace.interval(now).map_or(PROBE_INTERVAL, |interval| {
            (4 * interval).clamp(PROBE_INTERVAL, MAX_PROBE_INTERVAL)
        });
        let pause = if mem::take(&mut self.is_slot_free) { Duration::ZERO } else { pause };
        self.next_attempt = now + pause;
        (self.burst, self.burst_left) = (1, 1);
        self.last_used = now;
    }

    /// Removes a request that has ended, or whose caller has left.
    pub fn end(&mut self, ticket: Ticket, now: Instant) {
        let is_evicted = self.evicted.contains(&ticket);
        self.evicted.retain(|other| *other != ticket);
        let is_waiting = self.waiting.remove(&ticket) || is_evicted;
        if self.requests.remove(ticket).is_none() || is_waiting {
            return;
        }
        self.pace.record_end(!self.waiting.is_empty(), now);
        // The slot of an own request is free, whatever was refused before. A request that
        // tries the targets at this moment went first, so it gets the slot if it is refused.
        if self.tries_until(now).is_some() {
            self.is_slot_free = true;
        } else {
            self.use_free_slot(now);
        }
    }

    /// Returns the next request that starts or is refused, if there is one.
    pub fn poll(&mut self, now: Instant) -> Option<(Ticket, Step)> {
        if let Some(ticket) = self.evicted.pop() {
            self.requests.remove(ticket);
            return Some((ticket, Step::Refuse(Reason::QueueFull)));
        }
        let is_over = |ticket: &&Ticket| now >= self.requests[**ticket].arrival.give_up_at;
        if let Some(ticket) = self.waiting.iter().find(is_over).copied() {
            self.waiting.remove(&ticket);
            self.requests.remove(ticket);
            return Some((ticket, Step::Refuse(Reason::TimeOver)));
        }
        if !self.has_place() || !self.may_try(now) {
            return None;
        }
        let ticket = self.head()?;
        self.start(ticket, now);
        self.burst_left = self.burst_left.saturating_sub(1);
        self.last_used = now;
        Some((ticket, Step::Run))
    }

    /// Returns when [`Queue::poll`] may have a request again if nothing else happens before.
    pub fn next_poll(&self, now: Instant) -> Option<Instant> {
        let give_up = self.waiting.iter().map(|ticket| self.requests[*ticket].arrival.give_up_at);
        let free_at = self.is_slot_free.then(|| self.tries_until(now)).flatten();
        let next = free_at.map_or(self.next_attempt, |at| at.min(self.next_attempt));
        let attempt = (!self.waiting.is_empty() && self.has_place()).then_some(next);
        give_up.chain(attempt).min()
    }

    /// Returns the load; `None` if no request runs or waits.
    pub fn load(&self) -> Option<Load> {
        let rank = self.requests.values().map(|request| request.arrival.rank).min()?;
        let waiting = self.waiting.len() as u32;
        Some(Load { running: self.running(), waiting, rank })
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Draws the time after which a refused caller of a rank should return, which follows the queue.
    ///
    /// It is spread over 0.6 to 1.4 of the time until those before it have started, at most `most`.
    pub fn retry_after(
        &self,
        rank: u8,
        most: Duration,
        now: Instant,
        random: &mut fastrand::Rng,
    ) -> Duration {
        let ranks = self.waiting.iter().map(|ticket| self.requests[*ticket].arrival.rank);
        let before = ranks.filter(|other| *other <= rank).count();
        let drawn = self.pace.retry_after(before, now).mul_f64(0.6 + 0.8 * random.f64());
        // Callers whose time is too short for the spread are spread below it.
        if drawn <= most { drawn } else { most.mul_f64(0.5 + 0.5 * random.f64()) }
    }

    /// Lets the next request start, since a slot is free.
    fn use_free_slot(&mut self, now: Instant) {
        self.is_slot_free = false;
        self.next_attempt = self.next_attempt.min(now);
        self.burst_left = (self.burst_left + 1).min(MAX_BURST);
    }

    /// Returns until when a request may still be refused that started and has no lower rank than the
    /// waiting ones; `None` if there is none.
    fn tries_until(&self, now: Instant) -> Option<Instant> {
        let waiting =
            self.waiting.iter().map(|ticket| self.requests[*ticket].arrival.rank).min()?;
        let running = self.requests.values().filter(|request| request.charge.is_some());
        let tries = running.filter(|request| request.arrival.rank <= waiting);
        let until = tries.map(|request| request.started_at + PROBE_INTERVAL).max()?;
        (now < until).then_some(until)
    }

    fn running(&self) -> u32 {
        (self.requests.len() - self.waiting.len() - self.evicted.len()) as u32
    }

    fn has_place(&self) -> bool {
        self.limit.is_none_or(|limit| self.running() < limit)
    }

    /// Returns whether a waiting request may try the targets, and begins the next interval if the
    /// last one is over without a refusal.
    fn may_try(&mut self, now: Instant) -> bool {
        if self.is_slot_free && self.tries_until(now).is_none() {
            self.use_free_slot(now);
        }
        if now < self.next_attempt {
            return false;
        }
        if self.burst_left == 0 {
            self.burst = (self.burst * 2).clamp(1, MAX_BURST);
            self.burst_left = self.burst;
            self.next_attempt = now + PROBE_INTERVAL;
            return false;
        }
        true
    }

    fn start(&mut self, ticket: Ticket, now: Instant) {
        self.waiting.remove(&ticket);
        let candidates = self.candidates();
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let flow = request.arrival.flow();
        request.charge = Some(self.accounts.charge(flow, &candidates));
        request.started_at = now;
    }

    fn head(&self) -> Option<Ticket> {
        // With one request there is nothing to order; this is the way without contention.
        if self.waiting.len() <= 1 {
            return self.waiting.first().copied();
        }
        self.accounts.choose(&self.candidates())
    }

    fn candidates(&self) -> Vec<Candidate> {
        let waiting = self.waiting.iter().map(|ticket| (*ticket, &self.requests[*ticket]));
        let candidate = |(ticket, request): (Ticket, &Request)| Candidate {
            ticket,
            flow: request.arrival.flow(),
            is_newcomer: !request.arrival.is_return,
            sequence: request.sequence,
        };
        waiting.map(candidate).collect()
    }

    fn expire(&mut self, now: Instant) {
        if self.waiting.is_empty() && now >= self.last_used + MEMORY {
            self.accounts = Accounts::default();
        }
        self.last_used = now;
    }
}

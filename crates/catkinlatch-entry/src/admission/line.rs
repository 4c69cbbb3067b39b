//! The queue of one service with the requests that wait in it.

use catkinlatch_base::{Instant, ServiceId};
use catkinlatch_route::{
    admission::rank::{Arrival, Queue, Reason, Step, Ticket},
    places::Share,
};
use catkinlatch_runtime::message::Demand;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// What a waiting request is woken with: it may try the targets, or it is refused.
pub type Wake = Result<(), Reason>;

/// The queue of one service with the requests that wait in it.
#[derive(Default)]
pub struct Line {
    /// The decisions.
    pub queue: Queue,
    /// Whether the leader is being asked for a place.
    pub is_asking: bool,
    senders: BTreeMap<Ticket, oneshot::Sender<Wake>>,
    share: Option<Share>,
    /// When the earliest timer fires.
    timer: Option<Instant>,
}

impl Line {
    /// Adds a request; `sender` wakes it if it waits.
    pub fn enter(
        &mut self,
        arrival: Arrival,
        sender: oneshot::Sender<Wake>,
        now: Instant,
    ) -> (Ticket, Step) {
        let (ticket, step) = self.queue.enter(arrival, now);
        if step == Step::Wait {
            self.senders.insert(ticket, sender);
        }
        (ticket, step)
    }

    /// Puts a request back into the queue.
    pub fn requeue(&mut self, ticket: Ticket, sender: oneshot::Sender<Wake>, now: Instant) {
        self.queue.requeue(ticket, now);
        self.senders.insert(ticket, sender);
    }

    /// Removes a request that has ended, or whose caller has left.
    pub fn end(&mut self, ticket: Ticket, now: Instant) {
        self.senders.remove(&ticket);
        self.queue.end(ticket, now);
    }

    /// Wakes all requests that may go or are refused.
    pub fn wake(&mut self, now: Instant) {
        while let Some((ticket, step)) = self.queue.poll(now) {
            let wake = match step {
                Step::Run => Ok(()),
                Step::Wait => continue,
                Step::Refuse(reason) => Err(reason),
            };
            let sender = self.senders.remove(&ticket);
            if sender.is_none_or(|sender| sender.send(wake).is_err()) {
                // The caller has left, and its place is dropped.
                self.queue.end(ticket, now);
            }
        }
    }

    /// Applies the share as it is now to the queue.
    pub fn apply_share(&mut self, now: Instant) {
        self.queue.set_limit(self.share.map(|share| share.limit(now)), now);
    }

    /// Replaces the share by that of guidance whose report was sent at `sent_at`; `None` if the
    /// guidance names none.
    pub fn set_share(&mut self, share: Option<Share>, sent_at: Instant) {
        match share {
            Some(share) => self.share = Some(share),
            None if self.share.is_some_and(|share| share.is_ended_by(sent_at)) => self.share = None,
            None => {}
        }
    }

    /// Returns a time at which requests must be woken, if no timer is set for it.
    pub fn timer(&mut self, now: Instant) -> Option<Instant> {
        let share_ends = self.share.map(|share| share.until()).filter(|until| now < *until);
        let share_ends = share_ends.filter(|_| self.queue.is_limited());
        let next = [self.queue.next_poll(now), share_ends].into_iter().flatten().min()?;
        let is_new = self.timer.is_none_or(|timer| next < timer);
        if is_new {
            self.timer = Some(next);
        }
        is_new.then_some(next)
    }

    /// Records that the timer for `at` has fired.
    pub fn end_timer(&mut self, at: Instant) {
        self.timer = self.timer.filter(|timer| *timer != at);
    }

    /// Returns whether the leader must be asked for a place, and notes that it is.
    pub fn asks_for_place(&mut self, now: Instant) -> bool {
        let is_divided = self.share.is_some_and(|share| now < share.until());
        let asks = is_divided && !self.is_asking && self.queue.is_limited();
        self.is_asking |= asks;
        asks
    }

    /// Records the leader's answer to a request for a place; `None` if it did not answer. Returns
    /// whether no request waits for a place any more.
    pub fn end_request(&mut self, granted: Option<bool>) -> bool {
        match (granted, &mut self.share) {
            (Some(true), Some(share)) => share.add(),
            (None, _) => self.record_silence(),
            (Some(_), _) => {}
        }
        // The answer is applied after this; a request that still waits then asks again.
        self.is_asking = granted != Some(true) && self.queue.is_limited();
        !self.is_asking
    }

    /// Returns whether no leader has answered since the last message to it.
    pub fn is_silent(&self) -> bool {
        self.share.is_some_and(|share| share.is_silent())
    }

    /// Records that no leader answered.
    pub fn record_silence(&mut self) {
        if let Some(share) = &mut self.share {
            share.record_silence();
        }
    }

    /// Returns whether this host has or had a share of the service's places.
    pub fn is_divided(&self) -> bool {
        self.share.is_some()
    }

    /// Returns whether the share under the lease is larger than what runs and waits.
    pub fn has_surplus(&self, now: Instant) -> bool {
        self.share.is_some_and(|share| share.held(now) > self.needed())
    }

    /// Returns what the leader is told, after giving up the places that are not needed.
    pub fn demand(&mut self, service: &ServiceId, now: Instant) -> Option<Demand> {
        let needed = self.needed();
        if let Some(share) = &mut self.share {
            share.give_up(needed);
        }
        self.apply_share(now);
        let share = self.share.map_or(0, |share| share.held(now));
        let load = self.queue.load()?;
        Some(Demand {
            service: service.clone(),
            running: load.running,
            waiting: load.waiting,
            priority: load.rank,
            share,
        })
    }

    /// Updates the metrics of the service.
    pub fn record_metrics(&self, service: &ServiceId, now: Instant) {
        let label = [("service", service.to_string())];
        metrics::gauge!("catkinlatch_entry_queue", &label).set(self.queue.waiting() as f64);
        if let Some(share) = self.share {
            metrics::gauge!("catkinlatch_entry_share", &label).set(share.limit(now));
        }
    }

    fn needed(&self) -> u32 {
        self.queue.load().map_or(0, |load| load.running.saturating_add(load.waiting))
    }
}

//! An entry host's share of the places of a service.

use catkinlatch_base::Instant;
use std::time::Duration;

/// A share under a lease, with what applies once no leader is heard.
///
/// ```
/// use catkinlatch_base::Instant;
/// use catkinlatch_route::places::Share;
/// use std::time::Duration;
///
/// let share = Share::new(3, 1, Instant::ZERO, Duration::from_millis(1_500));
/// assert_eq!(share.limit(Instant::from_millis(1_499)), 3);
/// assert_eq!(share.limit(Instant::from_millis(1_500)), 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    places: u32,
    fallback: u32,
    until: Instant,
    lease: Duration,
    /// Whether the leader did not answer when it was asked for a place.
    is_silent: bool,
}

impl Share {
    /// Creates the share of guidance whose report was sent at `sent_at`.
    ///
    /// `fallback` is the even share, which applies after `lease`; it is at least 1.
    pub fn new(places: u32, fallback: u32, sent_at: Instant, lease: Duration) -> Self {
        let until = sent_at + lease;
        Self { places, fallback: fallback.max(1), until, lease, is_silent: false }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self, now: Instant) -> u32 {
        match (now < self.until, self.is_silent) {
            (true, false) => self.places,
            (true, true) => self.places.max(self.fallback),
            (false, _) => self.fallback,
        }
    }

    /// Returns the share under the lease; 0 once it has ended.
    pub fn held(&self, now: Instant) -> u32 {
        if now < self.until { self.places } else { 0 }
    }

    /// Returns when the lease ends.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Gives up what is not needed, before the leader is told what is held.
    pub fn give_up(&mut self, needed: u32) {
        self.places = self.places.min(needed);
    }

    /// Adds a place that the leader granted until the next guidance.
    pub fn add(&mut self) {
        self.places += 1;
        self.is_silent = false;
    }

    /// Records that the leader granted no place because it did not answer: at least the even share
    /// applies until the next guidance.
    pub fn record_silence(&mut self) {
        self.is_silent = true;
    }

    /// Returns whether the leader has not answered since the last guidance.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Returns whether guidance without this service, whose report was sent at `sent_at`, means
    /// that the service is not divided any more.
    pub fn is_ended_by(&self, sent_at: Instant) -> bool {
        sent_at >= self.until + self.lease
    }
}

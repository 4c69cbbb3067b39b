//! Counting of requests in a sliding span of one second.

use catkinlatch_base::Instant;
use std::{collections::VecDeque, time::Duration};

/// The span for which requests to a cold target are counted.
pub const SPAN: Duration = Duration::from_secs(1);

/// The requests of the last second.
///
/// Fixed windows would allow twice the limit around their boundary, so each request is counted for
/// one second after it was sent, including the last instant.
///
/// ```
/// use catkinlatch_base::Instant;
/// use catkinlatch_route::cold::Window;
///
/// let mut window = Window::default();
/// assert!(window.admit(1, Instant::from_millis(0)));
/// assert!(!window.admit(1, Instant::from_millis(1_000)));
/// assert!(window.admit(1, Instant::from_millis(1_001)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Instant>,
}

impl Window {
    /// Returns the number of requests in the second that ends at `now`.
    pub fn count(&self, now: Instant) -> u32 {
        let old = self.sent.partition_point(|sent| *sent + SPAN < now);
        (self.sent.len() - old) as u32
    }

    /// Returns the time since the last request; zero if there is none in the second that ends at
    /// `now`.
    pub fn idle(&self, now: Instant) -> Duration {
        let last = self.sent.back().filter(|sent| **sent + SPAN >= now);
        last.map_or(Duration::ZERO, |sent| now - *sent)
    }

    /// Records a request if fewer than `limit` were sent in the last second; returns whether it may
    /// be sent.
    pub fn admit(&mut self, limit: u32, now: Instant) -> bool {
        let has_room = self.count(now) < limit;
        if has_room {
            self.record(now);
        }
        has_room
    }

    /// Records a request that is sent in any case.
    pub fn record(&mut self, now: Instant) {
        let old = self.sent.partition_point(|sent| *sent + SPAN < now);
        self.sent.drain(..old);
        self.sent.push_back(now);
    }

    /// Takes back a request sent at `sent`, which does not count.
    pub fn refund(&mut self, sent: Instant) {
        if let Ok(position) = self.sent.binary_search(&sent) {
            self.sent.remove(position);
        }
    }
}

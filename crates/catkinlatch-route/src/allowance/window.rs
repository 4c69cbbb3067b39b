//! Counting of requests in a sliding span of time.

use catkinlatch_base::Instant;
use std::{collections::VecDeque, time::Duration};

/// The span for which requests to a cold target are counted.
pub const SPAN: Duration = Duration::from_secs(1);

/// The longest span for which requests are counted.
pub const MAX_SPAN: Duration = Duration::from_secs(4);

/// The requests of the last [`MAX_SPAN`].
///
/// Fixed windows would allow twice the limit around their boundary, so each request is counted for
/// a whole span after it was sent, including the last instant.
///
/// ```
/// use catkinlatch_base::Instant;
/// use catkinlatch_route::allowance::{SPAN, Window};
///
/// let mut window = Window::default();
/// assert!(window.admit(1, SPAN, Instant::from_millis(0)));
/// assert!(!window.admit(1, SPAN, Instant::from_millis(1_000)));
/// assert!(window.admit(1, SPAN, Instant::from_millis(1_001)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    sent: VecDeque<Instant>,
}

impl Window {
    /// Returns the number of requests in the span that ends at `now`.
    pub fn count(&self, span: Duration, now: Instant) -> u32 {
        let old = self.sent.partition_point(|sent| *sent + span < now);
        (self.sent.len() - old) as u32
    }

    /// Returns the time since the last request; zero if there is none in the span that ends at
    /// `now`.
    pub fn idle(&self, span: Duration, now: Instant) -> Duration {
        let last = self.sent.back().filter(|sent| **sent + span >= now);
        last.map_or(Duration::ZERO, |sent| now - *sent)
    }

    /// Records a request if fewer than `limit` were sent in the last `span`; returns whether it may
    /// be sent.
    pub fn admit(&mut self, limit: u32, span: Duration, now: Instant) -> bool {
        let has_room = self.count(span, now) < limit;
        if has_room {
            self.record(now);
        }
        has_room
    }

    /// Records a request that is sent in any case.
    pub fn record(&mut self, now: Instant) {
        let old = self.sent.partition_point(|sent| *sent + MAX_SPAN < now);
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

//! Decides which requests a host that shuts down still accepts.

use catkinlatch_base::{Instant, derive_value};
use std::{collections::BTreeMap, time::Duration};

/// Interval after which the older half of the observed durations is dropped.
const WINDOW: Duration = Duration::from_secs(60);

/// The fewest requests whose durations tell how long the next one may take.
const MIN_SAMPLES: u32 = 20;

/// A request is expected to take at most this multiple of the longest recent one.
const MARGIN: f64 = 1.5;

derive_value! {
    /// What a host that shuts down does with a request.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// The request can end before the host does.
        Run,
        /// The request would be cut, so its caller is sent to another host at once.
        Refuse,
    }
}

/// Returns what to do with a request that has not run, at a host that ends in `left`.
///
/// `limit` is the time after which the request ends in any case, if there is one; `expected` is how
/// long requests like it take at most, if that is known.
pub fn next(left: Duration, limit: Option<Duration>, expected: Option<Duration>) -> Step {
    let fits = |duration: Option<Duration>| duration.is_some_and(|duration| duration <= left);
    if fits(limit) || fits(expected) { Step::Run } else { Step::Refuse }
}

/// How long the requests of each route took lately.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    routes: BTreeMap<String, Recent>,
}

/// The longest duration of the current window and of the one before.
#[derive(Clone, Copy, Debug)]
struct Recent {
    began: Instant,
    current: Longest,
    previous: Longest,
}

/// The longest of some durations.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    duration: Duration,
    samples: u32,
}

impl Durations {
    /// Records how long a request took from its arrival to the end of its response.
    pub fn record(&mut self, route: &str, duration: Duration, now: Instant) {
        let is_recent = |recent: &Recent| now < recent.began + 2 * WINDOW;
        if !self.routes.get(route).is_some_and(is_recent) {
            self.routes.retain(|_, recent| is_recent(recent));
            let (current, previous) = (Longest::default(), Longest::default());
            self.routes.insert(route.to_owned(), Recent { began: now, current, previous });
        }
        if let Some(recent) = self.routes.get_mut(route) {
            recent.record(duration, now);
        }
    }

    /// Returns how long a request of the route is expected to take at most; `None` if too few ended
    /// lately.
    pub fn expected(&self, route: &str, now: Instant) -> Option<Duration> {
        let recent = self.routes.get(route).filter(|recent| now < recent.began + 2 * WINDOW)?;
        let samples = recent.current.samples.saturating_add(recent.previous.samples);
        let longest = recent.current.duration.max(recent.previous.duration);
        (samples >= MIN_SAMPLES).then(|| longest.mul_f64(MARGIN))
    }
}

impl Recent {
    fn record(&mut self, duration: Duration, now: Instant) {
        if now >= self.began + WINDOW {
            (self.began, self.previous, self.current) = (now, self.current, Longest::default());
        }
        self.current.duration = self.current.duration.max(duration);
        self.current.samples = self.current.samples.saturating_add(1);
    }
}

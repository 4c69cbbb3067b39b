//! Which build began a stream.

use super::RETENTION;
use catkinlatch_base::{BuildId, Instant, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Largest number of streams that are remembered; the oldest is dropped first.
const MAX_STREAMS: usize = 32_768;

/// The builds that began streams, by the attempt of a caller that brought the first event.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    builds: BTreeMap<RequestId, (BuildId, Instant)>,
    /// All records in the order of their times, including those that newer ones replaced.
    records: VecDeque<(RequestId, Instant)>,
}

impl Origins {
    /// Records which build began a stream, or that the stream still goes on.
    pub fn record(&mut self, attempt: RequestId, build: BuildId, now: Instant) {
        self.expire(now);
        self.records.push_back((attempt.clone(), now));
        self.builds.insert(attempt, (build, now));
    }

    /// Returns the build that began a stream, if it is known.
    pub fn find(&self, attempt: &RequestId, now: Instant) -> Option<&BuildId> {
        let (build, at) = self.builds.get(attempt)?;
        (now < *at + RETENTION).then_some(build)
    }

    /// Drops streams that are over, and the oldest one if there are too many.
    fn expire(&mut self, now: Instant) {
        while let Some((attempt, at)) = self.records.front()
            && (now >= *at + RETENTION || self.records.len() >= MAX_STREAMS)
        {
            if self.builds.get(attempt).is_some_and(|(_, newest)| newest == at) {
                self.builds.remove(attempt);
            }
            self.records.pop_front();
        }
    }
}

//! Refusals of requests that have not run.

use crate::{front::InboundRequest, proxy};
use catkinlatch_base::ServiceId;
use catkinlatch_route::admission::rank::Reason;
use log::info;
use std::time::Duration;

/// The retry delay is at most the caller's time divided by this.
const TIME_DIVISOR: u32 = 3;

/// The refusal of a request that has not run.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why it is refused.
    pub reason: Reason,
    /// When its caller should return.
    pub after: Duration,
    /// Number of requests that wait for the same service.
    pub waiting: usize,
    /// The time since its arrival.
    pub waited: Duration,
}

impl Refusal {
    /// Logs and counts the refusal.
    pub fn log(&self, inbound: &InboundRequest, service: &ServiceId) {
        let reason = self.reason.to_string();
        metrics::counter!("catkinlatch_entry_admission_refusals", "reason" => reason.clone())
            .increment(1);
        let team = inbound.team.as_ref().map_or("", |team| team.as_str());
        info!(
            request = inbound.id().unwrap_or_default(), route = inbound.route.name.as_str(),
            service:% = service, team = team, rank = inbound.priority, queue = self.waiting,
            waited_ms = self.waited.as_millis() as u64, after_ms = self.after.as_millis() as u64,
            reason = reason.as_str();
            "admission: refused, not run"
        );
    }
}

/// Returns the longest time after which a refused caller may be asked to return.
pub fn most_retry_after(inbound: &InboundRequest) -> Duration {
    proxy::time_limit(inbound) / TIME_DIVISOR
}

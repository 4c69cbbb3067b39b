//! Bounds on the requests that a target gets while it is cold after its start, or while it states
//! the rate that it takes.
//!
//! All senders together may send the planned number of requests in any span. The leader divides it
//! between itself and other hosts by leases ([`Division`]), and each host keeps to its shares
//! ([`Holder`]). Both know from [`Phases`] which targets are cold and how the bound rises afterwards,
//! and from [`Statements`] which rates targets state.

mod division;
mod holder;
mod phase;
mod statement;
mod window;

pub use self::{
    division::{Asked, Division},
    holder::{Demand, Holder},
    phase::{Phases, Stage},
    statement::{Change, Statement, Statements},
    window::{MAX_SPAN, SPAN, Window},
};

use catkinlatch_base::Rate;
use std::time::Duration;

/// The lowest rate for which a limit plans more than one request in a span, so that two senders
/// with endless work share it.
const MIN_SHARED_RATE: f64 = 2.0 / MAX_SPAN.as_secs_f64();

/// The most requests that all senders together plan for in any span of a given length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Number of requests, at least 1.
    pub planned: u32,
    /// The span, at most [`MAX_SPAN`].
    pub span: Duration,
}

impl Limit {
    /// Creates the limit of a service whose targets tolerate `per_second` requests a second while
    /// they are cold.
    ///
    /// A target may get `excess` times that and `slack` more in a span of one second. Returns
    /// `None` if `per_second` is not above 0, which means that cold targets are not limited.
    ///
    /// ```
    /// use catkinlatch_route::allowance::Limit;
    ///
    /// assert_eq!(Limit::new(14.0, 1.5, 5.0).map(|limit| limit.planned), Some(14));
    /// assert_eq!(Limit::new(0.4, 1.5, 5.0).map(|limit| limit.planned), Some(1));
    /// assert_eq!(Limit::new(0.0, 1.5, 5.0), None);
    /// ```
    pub fn new(per_second: f64, excess: f64, slack: f64) -> Option<Self> {
        if per_second.is_nan() || per_second <= 0.0 {
            return None;
        }
        let most = (per_second * excess + slack).max(1.0);
        Some(Self { planned: per_second.max(1.0).min(most) as u32, span: SPAN })
    }

    /// Creates the limit of a target that states to take `rate`.
    ///
    /// A target that takes next to nothing still gets a request every [`MAX_SPAN`], since only its
    /// answers show that the limit has ended.
    ///
    /// ```
    /// use catkinlatch_route::allowance::Limit;
    /// use std::time::Duration;
    ///
    /// let limit = Limit::of_rate("2.5".parse()?);
    /// assert_eq!((limit.planned, limit.span), (2, Duration::from_millis(800)));
    /// let limit = Limit::of_rate("0".parse()?);
    /// assert_eq!((limit.planned, limit.span), (1, Duration::from_secs(4)));
    /// # Ok::<(), catkinlatch_base::ParseRateError>(())
    /// ```
    pub fn of_rate(rate: Rate) -> Self {
        let per_second = rate.per_second().max(1.0 / MAX_SPAN.as_secs_f64());
        let least = if per_second < MIN_SHARED_RATE { 1.0 } else { 2.0 };
        let planned = per_second.floor().max(least);
        Self { planned: planned as u32, span: Duration::from_secs_f64(planned / per_second) }
    }

    /// Returns the time between two requests of each of `hosts` hosts that hear no leader.
    ///
    /// They leave half of the limit to hosts that still hold shares of it.
    pub fn pause_without_leader(self, hosts: u32) -> Duration {
        Duration::from_secs_f64(f64::from(hosts) * 2.0 / self.per_second())
    }

    /// Returns the number of requests a second that the limit allows.
    pub fn per_second(self) -> f64 {
        f64::from(self.planned) / self.span.as_secs_f64()
    }
}

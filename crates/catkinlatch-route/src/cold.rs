//! Bounds on the requests that a target gets while it is cold after its start.
//!
//! All senders together may send the planned number of requests in any span of one second. The
//! leader divides it between itself and other hosts by leases ([`Division`]), each host keeps to
//! its shares ([`Holder`]), and both know from [`Phases`] which targets are cold and how the bound
//! rises afterwards.

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
    window::{SPAN, Window},
};

/// The rate that the targets of a service tolerate while they are cold, and the bound that follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Number of requests in any span of one second that all senders together plan for, at least 1.
    pub planned: u32,
}

impl Limit {
    /// Creates the limit of a service whose targets tolerate `per_second` requests a second.
    ///
    /// A target may get `excess` times that and `slack` more in a span of one second. Returns
    /// `None` if `per_second` is not above 0, which means that cold targets are not limited.
    ///
    /// ```
    /// use catkinlatch_route::cold::Limit;
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
        Some(Self { planned: per_second.max(1.0).min(most) as u32 })
    }
}

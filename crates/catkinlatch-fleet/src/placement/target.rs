//! The state of a target that placement depends on.

use super::{Offer, Pool};
use catkinlatch_base::{Instant, TargetId, ZoneId, derive_value};

derive_value! {
    /// The phase of a target's life cycle.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// The target is ordered but has not announced itself.
        Starting,
        /// The target accepts work.
        Ready,
        /// The target accepts no new work and finishes its running work.
        Draining {
            /// When the drain started.
            since: Instant,
        },
    }
}

derive_value! {
    /// A target, or an open order to start one.
    #[derive(Eq)]
    pub struct Target {
        /// The id of the target; `None` until the platform has named it.
        pub id: Option<TargetId>,
        /// The zone in which the target runs.
        pub zone: ZoneId,
        /// The platform's price class, by name.
        pub price_class: String,
        /// The phase of its life cycle.
        pub phase: Phase,
        /// When the target was ordered.
        pub started: Instant,
        /// Whether the target has no running work.
        pub is_idle: bool,
        /// Whether the platform gave notice that it will reclaim the target.
        pub is_reclaimed: bool,
    }
}

impl Target {
    /// Returns whether the target is neither draining nor being reclaimed.
    pub fn is_staying(&self) -> bool {
        !self.is_reclaimed && !matches!(self.phase, Phase::Draining { .. })
    }

    /// Returns whether the target accepts work now and will continue to do so.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready && self.is_staying()
    }

    /// Returns the offer that the target was started from, if the pool still has it.
    pub fn offer<'a>(&self, pool: &'a Pool) -> Option<&'a Offer> {
        let is_same = |o: &&Offer| o.zone == self.zone && o.price_class == self.price_class;
        pool.offers.iter().find(is_same)
    }
}

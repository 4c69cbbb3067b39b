//! A target as placement sees it.

use super::{Offer, Pool};
use catkinlatch_base::{Instant, TargetId, ZoneId, derive_value};

derive_value! {
    /// What a target is doing.
    #[derive(Copy, Eq)]
    pub enum Phase {
        /// It is ordered and has not announced itself.
        Starting,
        /// It takes work.
        Ready,
        /// It takes no new work.
        Draining {
            /// Since when.
            since: Instant,
        },
    }
}

derive_value! {
    /// A target as placement sees it, or an open order for one.
    #[derive(Eq)]
    pub struct Target {
        /// The target, once the platform has named it.
        pub id: Option<TargetId>,
        /// The zone.
        pub zone: ZoneId,
        /// The price class.
        pub price_class: String,
        /// What it is doing.
        pub phase: Phase,
        /// When it was ordered.
        pub started: Instant,
        /// Whether it has no work under way.
        pub is_idle: bool,
        /// Whether the platform gave notice to take it back.
        pub is_reclaimed: bool,
    }
}

impl Target {
    /// Returns whether the target will go on taking work.
    pub fn is_staying(&self) -> bool {
        !self.is_reclaimed && !matches!(self.phase, Phase::Draining { .. })
    }

    /// Returns whether the target takes work now and will go on.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready && self.is_staying()
    }

    /// Returns the offer that the target was started from.
    pub fn offer<'a>(&self, pool: &'a Pool) -> Option<&'a Offer> {
        let is_same = |o: &&Offer| o.zone == self.zone && o.price_class == self.price_class;
        pool.offers.iter().find(is_same)
    }
}

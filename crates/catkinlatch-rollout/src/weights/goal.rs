//! The versions of a model that its engines should have, for what waits and for what is to come.

use catkinlatch_base::{Version, derive_value};
use std::collections::BTreeMap;

/// How many versions the next job of a model is expected to accept behind the newest one.
const EXPECTED_LAG: u64 = 1;

/// The items of a model that wait for an engine, by the oldest version that they accept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    items: BTreeMap<Version, usize>,
}

impl Demand {
    /// Adds waiting items that accept no version before `min_version`.
    pub fn add(&mut self, min_version: Version, items: usize) {
        *self.items.entry(min_version).or_default() += items;
    }
}

derive_value! {
    /// Why an engine should load.
    #[derive(Copy, Eq)]
    pub enum Need {
        /// The engine's weights are too old for items that wait, or else for the next job.
        Now,
        /// The engine's weights will be too old once another version is named, and no item waits
        /// that it could run instead of loading.
        Ahead,
    }
}

/// What the engines of a model are needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// The newest version, which engines load.
    pub newest: Version,
    /// Number of waiting items that engines with the newest version can run.
    pub waiting: usize,
    /// The oldest version with which an engine can run all of those items; the oldest that the
    /// next job is expected to accept if there are none.
    pub required: Version,
    /// The oldest version with which an engine can run any of those items.
    pub serving: Version,
}

impl Goal {
    /// Creates the goal of a model with the given newest version. Items that accept only later
    /// versions are left out: no load helps them.
    pub fn new(newest: Version, demand: &Demand) -> Self {
        let expected = expected(newest);
        let mut loadable = demand.items.range(..=newest);
        let waiting = loadable.clone().map(|(_, items)| items).sum();
        let serving = loadable.next().map_or(expected, |(version, _)| *version);
        let required = loadable.next_back().map_or(serving, |(version, _)| *version);
        Self { newest, waiting, required, serving }
    }

    /// Returns whether an engine with this version can run all waiting items, or the next job if no
    /// item waits.
    pub fn is_useful(&self, held: Version) -> bool {
        held >= self.required
    }

    /// Returns the version before which engines load for a need; `None` if none does.
    ///
    /// Engines that are far behind load even if they can run waiting items, since samples are to be
    /// fresh.
    pub fn load_before(&self, need: Need) -> Option<Version> {
        match need {
            Need::Now => Some(self.required.max(expected(self.newest))),
            Need::Ahead => (self.waiting == 0).then_some(self.newest),
        }
    }
}

/// Returns the oldest version that the next job is expected to accept.
fn expected(newest: Version) -> Version {
    Version::new(newest.get().saturating_sub(EXPECTED_LAG))
}

/// Returns in how many intervals between two versions a load remains useful.
pub fn useful_intervals() -> u64 {
    EXPECTED_LAG + 1
}

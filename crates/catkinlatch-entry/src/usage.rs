//! Request counts of teams at this host, by usage window.

use catkinlatch_base::{TeamId, WindowId};
use catkinlatch_ledger::Count;
use std::collections::BTreeMap;

/// Number of windows kept; every poll repeats them all in case a new leader has not seen them.
const MAX_WINDOWS: usize = 6;

/// Request counts of the newest windows since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    windows: BTreeMap<WindowId, BTreeMap<TeamId, u64>>,
}

impl Usage {
    /// Counts a request that started in a window.
    pub fn count(&mut self, window: WindowId, team: &TeamId) {
        *self.windows.entry(window).or_default().entry(team.clone()).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the counts of the newest windows.
    pub fn counts(&self) -> Vec<(WindowId, Vec<Count>)> {
        let counts = |teams: &BTreeMap<TeamId, u64>| {
            let count = |(team, requests): (&TeamId, &u64)| Count {
                team: team.clone(),
                requests: *requests,
            };
            teams.iter().map(count).collect()
        };
        self.windows.iter().map(|(window, teams)| (*window, counts(teams))).collect()
    }
}

//! Divides what targets cost among the teams that used them.

use super::Money;
use catkinlatch_base::{TeamId, derive_schema};
use catkinlatch_state::window::Figure;
use std::collections::BTreeMap;

derive_schema! {
    /// What one team's use of targets cost.
    #[derive(Eq)]
    pub struct TeamSpend {
        /// The team.
        pub team: TeamId,
        /// The cost of the target time that it used.
        pub money: Money,
    }
}

derive_schema! {
    /// What targets cost in a time, divided among the teams; the parts sum to the whole.
    #[derive(Eq)]
    pub struct Split {
        /// What the targets cost.
        pub total: Money,
        /// The teams' parts, sorted by team.
        pub teams: Vec<TeamSpend>,
        /// The cost of target time that nobody used.
        pub idle: Money,
    }
}

/// Divides `total` by use.
///
/// `slot_ms` is the time of all slots of the targets that cost `total`. Use beyond it, as when
/// targets run more requests than slots, shares the whole with nothing left as idle.
///
/// ```
/// use catkinlatch_fleet::spend::{Money, split};
///
/// let split = split(Money::from_micros(100), 1_000, &[]);
/// assert_eq!(split.idle, Money::from_micros(100));
/// ```
pub fn split(total: Money, slot_ms: u64, figures: &[Figure]) -> Split {
    let mut used: BTreeMap<&TeamId, u64> = BTreeMap::new();
    for figure in figures {
        *used.entry(&figure.team).or_default() += figure.target_ms;
    }
    let whole = u128::from(used.values().sum::<u64>().max(slot_ms).max(1));
    let part = |ms: u64| {
        let micros = u128::from(total.micros()) * u128::from(ms) / whole;
        Money::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    };
    let spend = |(team, ms): (&TeamId, u64)| TeamSpend { team: team.clone(), money: part(ms) };
    let teams: Vec<TeamSpend> = used.into_iter().map(spend).collect();
    let spent: Money = teams.iter().map(|team| team.money).sum();
    Split { total, teams, idle: total - spent }
}

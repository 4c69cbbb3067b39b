//! Divides the cost of targets among the teams that used them.

use super::Money;
use catkinlatch_base::{TeamId, derive_schema};
use catkinlatch_state::window::Figure;
use std::collections::BTreeMap;

derive_schema! {
    /// The cost of one team's use of targets.
    #[derive(Eq)]
    pub struct TeamSpend {
        /// The team.
        pub team: TeamId,
        /// The cost of the target time that the team used.
        pub money: Money,
    }
}

derive_schema! {
    /// The cost of targets over a period, divided among the teams. The costs of the teams and the
    /// idle cost sum to the total.
    #[derive(Eq)]
    pub struct Split {
        /// The total cost of the targets.
        pub total: Money,
        /// The cost of each team, sorted by team.
        pub teams: Vec<TeamSpend>,
        /// The cost of unused target time, including remainders of rounding.
        pub idle: Money,
    }
}

/// Divides `total` among teams in proportion to their target time.
///
/// `slot_ms` is the time of all slots of the targets that cost `total`, in milliseconds. If the
/// teams used more than that, as when targets run more requests than they have slots, they share
/// the total and only remainders of rounding are idle.
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

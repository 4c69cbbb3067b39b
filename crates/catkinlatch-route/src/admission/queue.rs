//! A weighted fair queue over teams.

use super::lane::{Item, Lane};
use catkinlatch_base::{TeamId, Tokens};
use std::collections::{BTreeMap, BTreeSet};

/// A weighted fair queue: the team that was served least for its weight goes first.
///
/// An idle team saves up no claim: when it comes back it starts at the virtual time of the
/// request that was started last.
#[derive(Debug, Default)]
pub struct Fair {
    lanes: BTreeMap<TeamId, Lane>,
    order: BTreeSet<(u64, TeamId)>,
    clock: u64,
    active_weight: f64,
}

impl Fair {
    /// Returns the team's lane.
    pub fn lane(&self, team: &TeamId) -> Option<&Lane> {
        self.lanes.get(team)
    }

    /// Returns the weight of the teams that have requests waiting.
    pub fn active_weight(&self) -> f64 {
        self.active_weight
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Sets a team's weight.
    pub fn set_weight(&mut self, team: &TeamId, weight: f64) {
        let clock = self.clock;
        let lane = self.lanes.entry(team.clone()).or_insert_with(|| Lane::new(weight, clock));
        if lane.queued > 0 {
            self.active_weight += weight - lane.weight;
        }
        lane.weight = weight;
    }

    /// Adds a request at the end of its team's lane.
    pub fn push(&mut self, team: &TeamId, item: Item) {
        let clock = self.clock;
        let lane = self.lanes.entry(team.clone()).or_insert_with(|| Lane::new(1.0, clock));
        if lane.queued == 0 {
            lane.served = lane.served.max(clock);
            self.active_weight += lane.weight;
            self.order.insert((lane.served, team.clone()));
        }
        lane.queued += 1;
        lane.queued_cost += item.cost.get();
        lane.items.push_back(item);
    }

    /// Returns the teams with waiting requests, the next one first.
    pub fn order(&self) -> impl Iterator<Item = &TeamId> {
        self.order.iter().map(|(_, team)| team)
    }

    /// Takes the team's first request; `gone` says which requests left before.
    pub fn pop(&mut self, team: &TeamId, gone: impl Fn(&Item) -> bool) -> Option<Item> {
        let lane = self.lanes.get_mut(team)?;
        while let Some(item) = lane.items.pop_front() {
            if gone(&item) {
                continue;
            }
            self.forget(team, item.cost);
            return Some(item);
        }
        None
    }

    /// Stops counting a waiting request that was started or left.
    pub fn forget(&mut self, team: &TeamId, cost: Tokens) {
        let Some(lane) = self.lanes.get_mut(team) else { return };
        lane.forget(cost);
        if lane.queued == 0 {
            self.order.remove(&(lane.served, team.clone()));
            self.active_weight = (self.active_weight - lane.weight).max(0.0);
            lane.items.clear();
        }
    }

    /// Charges a team for a request that starts.
    pub fn charge(&mut self, team: &TeamId, cost: Tokens) {
        let clock = self.clock;
        let lane = self.lanes.entry(team.clone()).or_insert_with(|| Lane::new(1.0, clock));
        let start = if lane.queued == 0 { lane.served.max(clock) } else { lane.served };
        self.clock = clock.max(start);
        let served = start + lane.units(cost);
        self.move_to(team, served);
    }

    /// Replaces the estimated cost of a request by the true one.
    pub fn correct(&mut self, team: &TeamId, estimated: Tokens, spent: Tokens) {
        let Some(lane) = self.lanes.get(team) else { return };
        let served = (lane.served + lane.units(spent)).saturating_sub(lane.units(estimated));
        self.move_to(team, served);
    }

    fn move_to(&mut self, team: &TeamId, served: u64) {
        let Some(lane) = self.lanes.get_mut(team) else { return };
        if lane.queued > 0 {
            self.order.remove(&(lane.served, team.clone()));
            self.order.insert((served, team.clone()));
        }
        lane.served = served;
    }
}

//! Weighted fair queueing across teams.

use super::flow::{Flow, Item};
use catkinlatch_base::{TeamId, Tokens};
use std::collections::{BTreeMap, BTreeSet};

/// A weighted fair queue: the team that was served least in proportion to its weight goes first.
///
/// An idle team accumulates no credit: when it becomes active again, it starts at the virtual time
/// of the request that was started last.
#[derive(Debug, Default)]
pub struct Queue {
    flows: BTreeMap<TeamId, Flow>,
    order: BTreeSet<(u64, TeamId)>,
    virtual_time: u64,
    active_weight: f64,
}

impl Queue {
    /// Returns a team's flow, or `None` if the team has neither a weight nor a request so far.
    pub fn flow(&self, team: &TeamId) -> Option<&Flow> {
        self.flows.get(team)
    }

    /// Returns the total weight of the teams with waiting requests.
    pub fn active_weight(&self) -> f64 {
        self.active_weight
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Sets a team's weight relative to the other teams.
    pub fn set_weight(&mut self, team: &TeamId, weight: f64) {
        let virtual_time = self.virtual_time;
        let flow =
            self.flows.entry(team.clone()).or_insert_with(|| Flow::new(weight, virtual_time));
        if flow.queued > 0 {
            self.active_weight += weight - flow.weight;
        }
        flow.weight = weight;
    }

    /// Appends a request to its team's flow.
    pub fn push(&mut self, team: &TeamId, item: Item) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(team.clone()).or_insert_with(|| Flow::new(1.0, virtual_time));
        if flow.queued == 0 {
            flow.virtual_finish = flow.virtual_finish.max(virtual_time);
            self.active_weight += flow.weight;
            self.order.insert((flow.virtual_finish, team.clone()));
        }
        flow.queued += 1;
        flow.queued_cost += item.cost.get();
        flow.items.push_back(item);
    }

    /// Returns the teams with waiting requests, in the order in which they are served.
    pub fn order(&self) -> impl Iterator<Item = &TeamId> {
        self.order.iter().map(|(_, team)| team)
    }

    /// Removes and returns the team's first request, skipping those for which `is_abandoned` holds.
    pub fn pop(&mut self, team: &TeamId, is_abandoned: impl Fn(&Item) -> bool) -> Option<Item> {
        let flow = self.flows.get_mut(team)?;
        while let Some(item) = flow.items.pop_front() {
            if is_abandoned(&item) {
                continue;
            }
            self.record_removal(team, item.cost);
            return Some(item);
        }
        None
    }

    /// Updates the counts for a waiting request that was started or abandoned.
    pub fn record_removal(&mut self, team: &TeamId, cost: Tokens) {
        let Some(flow) = self.flows.get_mut(team) else { return };
        flow.record_removal(cost);
        if flow.queued == 0 {
            self.order.remove(&(flow.virtual_finish, team.clone()));
            self.active_weight = (self.active_weight - flow.weight).max(0.0);
            flow.items.clear();
        }
    }

    /// Charges a team for a request that starts: advances its virtual finish time by the request's
    /// cost.
    pub fn charge(&mut self, team: &TeamId, cost: Tokens) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(team.clone()).or_insert_with(|| Flow::new(1.0, virtual_time));
        let start = if flow.queued == 0 {
            flow.virtual_finish.max(virtual_time)
        } else {
            flow.virtual_finish
        };
        self.virtual_time = virtual_time.max(start);
        let virtual_finish = start + flow.virtual_duration(cost);
        self.set_virtual_finish(team, virtual_finish);
    }

    /// Replaces the estimated cost of a started request by its actual cost.
    pub fn correct(&mut self, team: &TeamId, estimated: Tokens, spent: Tokens) {
        let Some(flow) = self.flows.get(team) else { return };
        let virtual_finish = (flow.virtual_finish + flow.virtual_duration(spent))
            .saturating_sub(flow.virtual_duration(estimated));
        self.set_virtual_finish(team, virtual_finish);
    }

    fn set_virtual_finish(&mut self, team: &TeamId, virtual_finish: u64) {
        let Some(flow) = self.flows.get_mut(team) else { return };
        if flow.queued > 0 {
            self.order.remove(&(flow.virtual_finish, team.clone()));
            self.order.insert((virtual_finish, team.clone()));
        }
        flow.virtual_finish = virtual_finish;
    }
}

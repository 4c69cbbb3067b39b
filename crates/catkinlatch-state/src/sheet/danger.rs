//! Changes that a sheet may make only when its user confirms them.

use crate::config::{KeyView, Kind, Tables};

/// Returns what a change would take away that callers live by, in words.
pub fn dangers(before: &Tables, keys: &[KeyView], after: &Tables) -> Vec<String> {
    let mut dangers = Vec::new();
    if !keys.is_empty() && keys.iter().all(|key| !after.teams.contains_key(&key.team)) {
        dangers.push(format!("all {} keys would be withdrawn", keys.len()));
    }
    for (id, team) in &before.teams {
        let left = after.teams.get(id).map_or(0, |team| team.weight);
        if team.weight > 0 && left == 0 {
            dangers.push(format!("team {id} would have no share"));
        }
    }
    for (id, route) in &before.routes {
        let Kind::Model(model) = &route.kind else { continue };
        let ran = before.models.get(model).is_some_and(|model| has_zone(before, model));
        let stays = after.routes.contains_key(id);
        let runs = after.models.get(model).is_some_and(|model| has_zone(after, model));
        if ran && stays && !runs {
            dangers.push(format!("route {id} would have no zone left"));
        }
    }
    dangers
}

fn has_zone(tables: &Tables, model: &crate::config::Model) -> bool {
    tables.zones_of(model).is_none_or(|zones| !zones.is_empty())
}

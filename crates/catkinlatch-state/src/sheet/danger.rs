//! Dangerous changes of a sheet, which the user must confirm.

use crate::config::{KeyView, Kind, Tables};

/// Returns a description of each effect of a change that takes access or capacity from callers.
///
/// These are the withdrawal of all keys, teams that lose their share of capacity, and routes that
/// are left without a zone to run in.
pub fn dangers(before: &Tables, keys: &[KeyView], after: &Tables) -> Vec<String> {
    let mut dangers = Vec::new();
    if !keys.is_empty() && keys.iter().all(|key| !after.teams.contains_key(&key.team)) {
        dangers.push(format!("all {} keys would be withdrawn", keys.len()));
    }
    for (id, team) in &before.teams {
        let weight = after.teams.get(id).map_or(0, |team| team.weight);
        if team.weight > 0 && weight == 0 {
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

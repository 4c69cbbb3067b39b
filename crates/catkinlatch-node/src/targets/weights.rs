//! Orders to engines to load weights.

use crate::{Node, order};
use catkinlatch_base::{ModelId, OrderId, TargetId, Version};
use catkinlatch_route::target::Role;
use catkinlatch_state::{config::Trainer, order::Action};
use log::warn;

/// Orders all engines of the trainer's model to load a version.
pub async fn load_version(node: &Node, trainer: &Trainer, version: Version) {
    let Some(term) = node.control.leading() else { return };
    for target in engines(node, &trainer.model) {
        let id = format!("load-{target}-{}-{version}-{term}", trainer.model);
        let Ok(id) = id.parse::<OrderId>() else { continue };
        let action = Action::LoadVersion { target, model: trainer.model.clone(), version };
        let outcome = order::carry_out(node, id.clone(), action).await;
        if outcome.is_none() {
            warn!("orders: {id} was not carried out here");
        }
    }
}

fn engines(node: &Node, model: &ModelId) -> Vec<TargetId> {
    let table = node.table();
    let serves = |role: &Role| matches!(role, Role::Engine { model: m, .. } if m == model);
    table
        .entries()
        .map(|(_, entry)| &entry.announcement)
        .filter(|announcement| serves(&announcement.role))
        .map(|announcement| announcement.id.clone())
        .collect()
}

//! Orders to engines to load weights.

use crate::Node;
use catkinlatch_base::{ModelId, OrderId, TargetId, Term, Version, derive_schema, event};
use catkinlatch_route::target::Role;
use catkinlatch_state::{
    Command, Reply,
    config::Trainer,
    order::{self, Action, Stage},
};
use log::warn;

derive_schema! {
    /// An order as a target gets it.
    pub struct Order {
        /// Identifies the order, so that a resend is recognised.
        pub order: OrderId,
        /// The fencing number; an older one than the target has seen is to be refused.
        pub fence: Term,
        /// The model.
        pub model: ModelId,
        /// The version to load.
        pub version: Version,
    }
}

/// An engine that shall load weights.
struct Engine {
    id: TargetId,
    address: String,
}

/// Orders all engines of the trainer's model to load a version.
pub async fn load_version(node: &Node, trainer: &Trainer, version: Version) {
    let Some(term) = node.control.leading() else { return };
    for engine in engines(node, &trainer.model) {
        let id = format!("load-{}-{}-{version}-{term}", engine.id, trainer.model);
        let Ok(id) = id.parse::<OrderId>() else { continue };
        let order = Order { order: id, fence: term, model: trainer.model.clone(), version };
        send(node, &engine, order).await;
    }
}

fn engines(node: &Node, model: &ModelId) -> Vec<Engine> {
    let table = node.table();
    let serves = |role: &Role| matches!(role, Role::Engine { model: m, .. } if m == model);
    table
        .entries()
        .map(|(_, entry)| &entry.announcement)
        .filter(|announcement| serves(&announcement.role))
        .map(|a| Engine { id: a.id.clone(), address: a.address.clone() })
        .collect()
}

/// Commits the intent, sends the order, and settles it.
async fn send(node: &Node, engine: &Engine, order: Order) {
    let action = Action::LoadVersion {
        target: engine.id.clone(),
        model: order.model.clone(),
        version: order.version,
    };
    let intent = order::Change::Intend { id: order.order.clone(), action, term: order.fence };
    match node.control.propose(Command::Order(intent)).await {
        Ok(Reply::Order(order::Reply::Done)) => {}
        Ok(reply) => return warn!("orders: {} is not sent: {reply:?}", order.order),
        Err(error) => return warn!("orders: {} is not sent: {error}", order.order),
    }
    node.record(event::Kind::OrderSent { order: order.order.clone(), term: order.fence });
    let stage = match node.upstream.post_json(&engine.address, "/v1/orders", &order).await {
        Ok(response) if response.status().is_success() => Stage::Done,
        Ok(_) => Stage::Failed,
        Err(_) => Stage::Unknown,
    };
    let settled = order::Change::Settle { id: order.order, stage };
    if let Err(error) = node.control.propose(Command::Order(settled)).await {
        warn!("orders: the outcome is not recorded: {error}");
    }
}

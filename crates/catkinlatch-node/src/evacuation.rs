//! Evacuation of zones: the operators' endpoint, and the effect on this node's targets.

use crate::{Node, operator::access::authorize};
use catkinlatch_base::{ZoneId, derive_schema, event};
use catkinlatch_state::{Command, evacuation::Change};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk, RequestContext,
    TypedBody, endpoint,
};
use log::info;
use std::{collections::BTreeSet, sync::Arc};

derive_schema! {
    /// A decision about the evacuation of a zone.
    pub struct Decision {
        /// The zone, which needs no entry in the configuration.
        pub zone: ZoneId,
        /// Whether the zone's targets get requests again, instead of nothing new.
        #[serde(default)]
        pub ends: bool,
    }
}

derive_schema! {
    /// The evacuated zones after a decision.
    pub struct Evacuated {
        /// The zones whose targets get nothing new.
        pub zones: BTreeSet<ZoneId>,
    }
}

/// Registers the endpoint of this module.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(post_evacuation)?;
    Ok(())
}

/// Evacuates a zone, or ends its evacuation; answers once that is in force on all nodes. Idempotent.
#[endpoint { method = POST, path = "/v1/evacuation" }]
async fn post_evacuation(
    context: RequestContext<Arc<Node>>,
    body: TypedBody<Decision>,
) -> Result<HttpResponseOk<Evacuated>, HttpError> {
    let node = authorize(&context)?;
    let Decision { zone, ends } = body.into_inner();
    let change = if ends { Change::Restore(zone.clone()) } else { Change::Evacuate(zone.clone()) };
    let unavailable = |error: crate::control::ProposeError| {
        HttpError::for_unavail(
            None,
            format!("repeat the call, it is not known to be done: {error}"),
        )
    };
    node.control.propose(Command::Evacuation(change)).await.map_err(unavailable)?;
    apply(node);
    let state = node.control.state();
    node.control.wait_in_force(state.revision()).await.map_err(unavailable)?;
    if ends {
        info!("control: restored zone {zone}");
        node.record(event::Kind::Restored { zone });
    } else {
        info!("control: evacuated zone {zone}");
        node.record(event::Kind::Evacuated { zone });
    }
    Ok(HttpResponseOk(Evacuated { zones: state.evacuated().clone() }))
}

/// Applies the evacuated zones of the replicated state to the table of targets; never returns.
pub async fn watch(node: Arc<Node>) {
    let mut changes = node.control.changes();
    loop {
        changes.mark_unchanged();
        apply(&node);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn apply(node: &Node) {
    let state = node.control.state();
    let zones = state.evacuated();
    node.table().set_evacuated(zones, node.clock.now());
    metrics::gauge!("catkinlatch_evacuated_zones").set(zones.len() as f64);
}

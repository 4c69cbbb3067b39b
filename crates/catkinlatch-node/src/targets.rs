//! The interface through which targets announce themselves.

mod weights;

pub(crate) use self::weights::roll_out;

use crate::{Node, placement};
use catkinlatch_base::{BootId, TargetId, derive_schema, event};
use catkinlatch_route::Announcement;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseUpdatedNoContent,
    RequestContext, TypedBody, endpoint,
};
use log::info;
use std::sync::Arc;

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(announce)?;
    api.register(withdraw)?;
    Ok(())
}

derive_schema! {
    /// Says that a target leaves.
    pub struct Withdrawal {
        /// The target.
        pub id: TargetId,
        /// The start of its process that leaves.
        pub boot: BootId,
    }
}

/// Announces a target, or renews its announcement.
#[endpoint { method = POST, path = "/v1/targets/announce" }]
async fn announce(
    context: RequestContext<Arc<Node>>,
    body: TypedBody<Announcement>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let node = context.context();
    let announcement = body.into_inner();
    let target = announcement.id.clone();
    if placement::is_leaving(node, &target) {
        node.table().withdraw(&target, &announcement.boot);
        return Ok(HttpResponseUpdatedNoContent());
    }
    if node.table().announce(announcement, node.clock.now()) {
        info!("targets: {target} announced itself");
        node.record(event::Kind::TargetUp { target });
    }
    Ok(HttpResponseUpdatedNoContent())
}

/// Withdraws a target.
#[endpoint { method = POST, path = "/v1/targets/withdraw" }]
async fn withdraw(
    context: RequestContext<Arc<Node>>,
    body: TypedBody<Withdrawal>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let withdrawal = body.into_inner();
    context.context().table().withdraw(&withdrawal.id, &withdrawal.boot);
    info!("targets: {} withdrew", withdrawal.id);
    Ok(HttpResponseUpdatedNoContent())
}

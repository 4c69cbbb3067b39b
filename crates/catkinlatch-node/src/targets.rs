//! The interface through which targets announce themselves.

mod weights;

pub(crate) use self::weights::roll_out;

use crate::{Node, peer::Message, placement};
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
    node.peers.broadcast(&Message::Announce(Box::new(announcement.clone())));
    record(node, announcement);
    Ok(HttpResponseUpdatedNoContent())
}

/// Withdraws a target.
#[endpoint { method = POST, path = "/v1/targets/withdraw" }]
async fn withdraw(
    context: RequestContext<Arc<Node>>,
    body: TypedBody<Withdrawal>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let (node, withdrawal) = (context.context(), body.into_inner());
    node.peers.broadcast(&Message::Withdraw(withdrawal.clone()));
    remove(node, &withdrawal);
    Ok(HttpResponseUpdatedNoContent())
}

/// Records an announcement that came from a target or through another node.
pub(crate) fn record(node: &Node, announcement: Announcement) {
    if placement::is_draining(node, &announcement.id) {
        node.table().withdraw(&announcement.id, &announcement.boot);
        return;
    }
    let target = announcement.id.clone();
    if node.table().announce(announcement, node.clock.now()) {
        info!("targets: {target} announced itself");
        node.record(event::Kind::TargetUp { target });
    }
}

/// Removes a target that withdrew here or at another node.
pub(crate) fn remove(node: &Node, withdrawal: &Withdrawal) {
    node.table().withdraw(&withdrawal.id, &withdrawal.boot);
    info!("targets: {} withdrew", withdrawal.id);
}

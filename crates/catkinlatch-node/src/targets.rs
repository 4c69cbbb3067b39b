//! HTTP interface for targets, and the roll-out of weights to engines.

mod weights;

pub(crate) use self::weights::roll_out_weights;

use crate::{Node, peer::Message, placement};
use catkinlatch_base::{BootId, TargetId, derive_schema, event};
use catkinlatch_route::Announcement;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseUpdatedNoContent,
    RequestContext, TypedBody, endpoint,
};
use http::Response;
use log::info;
use std::sync::Arc;

/// Header of each response of a target that leaves.
pub const LEAVING: &str = "catkinlatch-leaving";

/// Registers the endpoints for targets.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(announce)?;
    api.register(withdraw)?;
    Ok(())
}

derive_schema! {
    /// A target's request to be withdrawn.
    pub struct Withdrawal {
        /// The target to withdraw.
        pub id: TargetId,
        /// The boot id of the start that withdraws; a later start stays announced.
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

/// Withdraws a target, so that it gets no new requests.
#[endpoint { method = POST, path = "/v1/targets/withdraw" }]
async fn withdraw(
    context: RequestContext<Arc<Node>>,
    body: TypedBody<Withdrawal>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    remove_everywhere(context.context(), &body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Withdraws a target if its response says that it leaves, whatever it announces later.
pub(crate) fn record_response<B>(
    node: &Node,
    target: &TargetId,
    boot: &BootId,
    response: &Response<B>,
) {
    if response.headers().contains_key(LEAVING) {
        remove_everywhere(node, &Withdrawal { id: target.clone(), boot: boot.clone() });
    }
}

/// Removes a target here, at once, and at all other nodes.
fn remove_everywhere(node: &Node, withdrawal: &Withdrawal) {
    remove(node, withdrawal);
    node.peers.broadcast(&Message::Withdraw(withdrawal.clone()));
}

/// Records an announcement received from a target or from another node.
///
/// Withdraws the target instead if it is draining.
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

/// Removes a target that withdrew at this or another node.
pub(crate) fn remove(node: &Node, withdrawal: &Withdrawal) {
    node.table().withdraw(&withdrawal.id, &withdrawal.boot);
    info!("targets: {} withdrew", withdrawal.id);
}

//! The voters of the control log, and the operator's hand on them.

use super::access::authorize;
use crate::{Node, control::Member};
use catkinlatch_base::{HostId, Term, derive_schema};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk, RequestContext,
    TypedBody, endpoint,
};
use std::sync::Arc;

type Context = RequestContext<Arc<Node>>;

derive_schema! {
    /// The nodes of the control log as its leader knows them.
    pub struct Members {
        /// The leader's host, if there is one.
        pub leader: Option<HostId>,
        /// The term of the control log.
        pub term: Term,
        /// The nodes; empty without a leader.
        pub members: Vec<Member>,
    }
}

derive_schema! {
    /// Names the hosts that become the voters without asking a quorum.
    pub struct Override {
        /// The hosts; the one that is asked must be among them.
        pub hosts: Vec<HostId>,
    }
}

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(get_members)?;
    api.register(post_override)?;
    Ok(())
}

/// Returns the nodes of the control log.
#[endpoint { method = GET, path = "/v1/cluster/members" }]
async fn get_members(context: Context) -> Result<HttpResponseOk<Members>, HttpError> {
    let node = authorize(&context)?;
    let status = node.control.status();
    let members = node.control.members().await;
    Ok(HttpResponseOk(Members { leader: status.leader, term: status.term, members }))
}

/// Makes these hosts the voters; refused while there is a leader.
///
/// Changes that none of the hosts holds are lost. All other voters must be stopped for good.
#[endpoint { method = POST, path = "/v1/cluster/override" }]
async fn post_override(
    context: Context,
    body: TypedBody<Override>,
) -> Result<HttpResponseOk<Override>, HttpError> {
    let node = authorize(&context)?;
    let wanted = body.into_inner();
    let changed = node.control.override_voters(wanted.hosts.clone()).await;
    changed.map_err(|error| {
        let message = format!(
            "the voters are not overridden: {error}; ask while there is no leader, name this \
             host, and name only hosts that run"
        );
        HttpError::for_unavail(None, message)
    })?;
    Ok(HttpResponseOk(wanted))
}

//! Members of the control log, and the override of its voters by an operator.

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
    /// The nodes of the control log as its leader sees them.
    pub struct Members {
        /// The host of the leader, if one is known.
        pub leader: Option<HostId>,
        /// The newest term of the control log that the asked node has seen.
        pub term: Term,
        /// The nodes; empty if there is no leader.
        pub members: Vec<Member>,
    }
}

derive_schema! {
    /// An override of the voters, made without asking a quorum.
    pub struct Override {
        /// The hosts of the new voters; the host that receives the request must be among them.
        pub hosts: Vec<HostId>,
    }
}

/// Registers the endpoints of this module.
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
/// Committed changes that none of the hosts holds are lost. All other voters must be stopped for
/// good beforehand.
#[endpoint { method = POST, path = "/v1/cluster/override" }]
async fn post_override(
    context: Context,
    body: TypedBody<Override>,
) -> Result<HttpResponseOk<Override>, HttpError> {
    let node = authorize(&context)?;
    let request = body.into_inner();
    let result = node.control.override_voters(request.hosts.clone()).await;
    result.map_err(|error| {
        let message = format!(
            "the voters are not overridden: {error}; ask while there is no leader, name this \
             host, and name only hosts that run"
        );
        HttpError::for_unavail(None, message)
    })?;
    Ok(HttpResponseOk(request))
}

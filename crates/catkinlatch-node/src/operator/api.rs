//! Endpoints for operators.

use super::{
    access::authorize,
    health,
    status::{self, Status},
};
use crate::Node;
use catkinlatch_base::event::{self, Event};
use catkinlatch_state::{Command, Reply, config};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk, Query, RequestContext,
    TypedBody, endpoint,
};
use schemars::JsonSchema;
use serde::Deserialize;
use std::sync::Arc;

type Context = RequestContext<Arc<Node>>;

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    health::register(api)?;
    api.register(get_status)?;
    api.register(get_timeline)?;
    api.register(get_config)?;
    api.register(post_change)?;
    Ok(())
}

/// Returns what the node knows of the cluster.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(context: Context) -> Result<HttpResponseOk<Status>, HttpError> {
    let node = authorize(&context)?;
    let leading = node.control.leading();
    let state = node.control.state();
    let targets = node.table().entries().map(|(_, e)| e.announcement.clone()).collect();
    let (host, zone) = (node.settings.host.clone(), node.settings.zone.clone());
    let own = status::Node {
        host: host.clone(),
        zone: zone.clone(),
        revision: state.revision(),
        lease_ms: node.settings.configuration_lease_ms,
        draining: node.draining(),
    };
    Ok(HttpResponseOk(Status {
        leader: leading.map(|_| host.clone()),
        term: leading.unwrap_or_default(),
        revision: state.revision(),
        config_revision: state.config().revision(),
        voters: vec![host.clone()],
        nodes: vec![own],
        targets,
        host,
        zone,
    }))
}

#[derive(Deserialize, JsonSchema)]
struct After {
    /// Leaves out events before this moment, in milliseconds since the Unix epoch.
    after_ms: Option<u64>,
}

/// Returns the newest events of this process.
#[endpoint { method = GET, path = "/v1/timeline" }]
async fn get_timeline(
    context: Context,
    query: Query<After>,
) -> Result<HttpResponseOk<Vec<Event>>, HttpError> {
    let after_ms = query.into_inner().after_ms.unwrap_or_default();
    let mut events = authorize(&context)?.timeline.events();
    events.retain(|event| event.stamp.wall_ms >= after_ms);
    Ok(HttpResponseOk(events))
}

/// Returns the configuration, without the secret parts of keys.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(context: Context) -> Result<HttpResponseOk<config::View>, HttpError> {
    let state = authorize(&context)?.control.state();
    Ok(HttpResponseOk(config::View::new(state.config())))
}

/// Changes the configuration.
#[endpoint { method = POST, path = "/v1/config/changes" }]
async fn post_change(
    context: Context,
    body: TypedBody<config::Change>,
) -> Result<HttpResponseOk<config::Reply>, HttpError> {
    let node = authorize(&context)?;
    let change = body.into_inner();
    let withdrawn = withdrawn_keys(node, &change);
    match node.control.propose(Command::Config(change)).await {
        Ok(Reply::Config(reply)) => {
            if let config::Reply::Accepted { revision } = reply {
                node.record(event::Kind::Committed { revision });
                withdrawn.into_iter().for_each(|kind| node.record(kind));
            }
            Ok(HttpResponseOk(reply))
        }
        Ok(reply) => Err(HttpError::for_internal_error(format!("the change answered {reply:?}"))),
        Err(error) => Err(HttpError::for_unavail(None, error.to_string())),
    }
}

/// Returns the events that tell of the keys that a change withdraws.
fn withdrawn_keys(node: &Node, change: &config::Change) -> Vec<event::Kind> {
    let state = node.control.state();
    let withdrawn = |key: &&config::Key| {
        change.edits.iter().any(|edit| match edit {
            config::Edit::WithdrawKey(id) => *id == key.id,
            config::Edit::DropTeam(team) => *team == key.team,
            _ => false,
        })
    };
    let tell = |key: &config::Key| event::Kind::KeyWithdrawn {
        key: key.id.clone(),
        team: key.team.clone(),
    };
    state.config().keys().values().filter(withdrawn).map(tell).collect()
}

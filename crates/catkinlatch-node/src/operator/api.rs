//! Endpoints for operators: status, timeline and configuration.

use super::{
    access::authorize,
    cluster, health,
    status::{self, Status},
};
use crate::{Node, control, evacuation};
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

/// Registers the endpoints of this module and of its siblings.
pub fn register(api: &mut ApiDescription<Arc<Node>>) -> Result<(), ApiDescriptionRegisterError> {
    evacuation::register(api)?;
    health::register(api)?;
    cluster::register(api)?;
    api.register(get_status)?;
    api.register(get_timeline)?;
    api.register(get_config)?;
    api.register(post_change)?;
    Ok(())
}

/// Returns the status of the cluster as seen by the node.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(context: Context) -> Result<HttpResponseOk<Status>, HttpError> {
    let node = authorize(&context)?;
    let (control, state) = (node.control.status(), node.control.state());
    let targets = node.table().entries().map(|(_, e)| e.announcement.clone()).collect();
    Ok(HttpResponseOk(Status {
        host: node.settings.host.clone(),
        zone: node.settings.zone.clone(),
        leader: control.leader,
        term: control.term,
        revision: state.revision(),
        config_revision: state.config().revision(),
        voters: control.voters,
        nodes: status::all_nodes(node).await,
        targets,
        evacuated: state.evacuated().clone(),
    }))
}

#[derive(Deserialize, JsonSchema)]
struct TimelineQuery {
    /// Omits events before this time, in milliseconds since the Unix epoch.
    after_ms: Option<u64>,
}

/// Returns the newest events of this process.
#[endpoint { method = GET, path = "/v1/timeline" }]
async fn get_timeline(
    context: Context,
    query: Query<TimelineQuery>,
) -> Result<HttpResponseOk<Vec<Event>>, HttpError> {
    let after_ms = query.into_inner().after_ms.unwrap_or_default();
    let mut events = authorize(&context)?.timeline.events();
    events.retain(|event| event.stamp.wall_ms >= after_ms);
    Ok(HttpResponseOk(events))
}

/// Returns the configuration, without the secret parts of API keys.
#[endpoint { method = GET, path = "/v1/config" }]
async fn get_config(context: Context) -> Result<HttpResponseOk<config::View>, HttpError> {
    let state = authorize(&context)?.control.state();
    Ok(HttpResponseOk(config::View::new(state.config())))
}

/// What the response to an accepted change waits for.
#[derive(Deserialize, JsonSchema, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Wait {
    /// The change is committed.
    Accepted,
    /// The change is in force on every node that takes work.
    InForce,
}

#[derive(Deserialize, JsonSchema)]
struct ChangeQuery {
    wait: Option<Wait>,
}

/// Applies a change to the configuration.
#[endpoint { method = POST, path = "/v1/config/changes" }]
async fn post_change(
    context: Context,
    query: Query<ChangeQuery>,
    body: TypedBody<config::Change>,
) -> Result<HttpResponseOk<config::Reply>, HttpError> {
    let node = authorize(&context)?;
    let waits = query.into_inner().wait == Some(Wait::InForce);
    let change = body.into_inner();
    let withdrawals = withdrawal_events(node, &change);
    match node.control.propose(Command::Config(change)).await {
        Ok(Reply::Config(reply)) => {
            if let config::Reply::Accepted { revision } = reply {
                node.record(event::Kind::Committed { revision });
                withdrawals.into_iter().for_each(|kind| node.record(kind));
                if waits {
                    node.control.wait_in_force(revision).await.map_err(not_in_force)?;
                }
            }
            Ok(HttpResponseOk(reply))
        }
        Ok(reply) => Err(HttpError::for_internal_error(format!("the change answered {reply:?}"))),
        Err(error) => Err(HttpError::for_unavail(None, error.to_string())),
    }
}

fn not_in_force(error: control::ProposeError) -> HttpError {
    let message = format!("the change is accepted, but not known to be in force: {error}");
    HttpError::for_unavail(None, message)
}

/// Returns the events to record for the API keys that a change withdraws.
fn withdrawal_events(node: &Node, change: &config::Change) -> Vec<event::Kind> {
    let state = node.control.state();
    let is_withdrawn = |key: &&config::Key| {
        change.edits.iter().any(|edit| match edit {
            config::Edit::WithdrawKey(id) => *id == key.id,
            config::Edit::DropTeam(team) => *team == key.team,
            _ => false,
        })
    };
    let to_event = |key: &config::Key| event::Kind::KeyWithdrawn {
        key: key.id.clone(),
        team: key.team.clone(),
    };
    state.config().keys().values().filter(is_withdrawn).map(to_event).collect()
}

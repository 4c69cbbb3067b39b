//! `catkinlatch timeline`.

use super::{
    exit::{Failure, Outcome, block_on, print},
    operator::{self, Operator},
};
use argh::FromArgs;
use catkinlatch_base::{
    OrderId, RequestId, Revision, TargetId, TeamId,
    event::{Event, Stamp},
};
use catkinlatch_node::Settings;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

/// How often a followed time line is read again.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Merges the newest events of all processes, ordered by their hybrid logical clocks.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --settings host-1.jsonc --request r-17 --json",
    note = "Processes that cannot be reached are named on the error output.",
    error_code(2, "no process can be reached")
)]
pub struct Timeline {
    /// the operator address of a process, as host:port; may be given again
    #[argh(option)]
    operator: Vec<String>,
    /// the settings file of a node, which names all processes and the operator token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints events of this request only
    #[argh(option)]
    request: Option<RequestId>,
    /// prints events of this team only
    #[argh(option)]
    team: Option<TeamId>,
    /// prints events of this target only
    #[argh(option)]
    target: Option<TargetId>,
    /// prints events of this order only
    #[argh(option)]
    order: Option<OrderId>,
    /// prints events of this revision only
    #[argh(option)]
    revision: Option<Revision>,
    /// goes on with new events until it is ended
    #[argh(switch)]
    follow: bool,
    /// prints JSON lines
    #[argh(switch)]
    json: bool,
}

impl Timeline {
    /// Prints the events.
    pub fn run(self) -> Outcome {
        let mut sources = sources(&self.operator, self.settings.as_deref())?;
        let filter = Filter::new(&self);
        block_on(async {
            loop {
                let events = read(&mut sources, self.follow).await?;
                events.iter().filter(|event| filter.admits(event)).for_each(|event| {
                    if self.json {
                        print(serde_json::to_string(event).expect("an event serializes"));
                    } else {
                        print(event);
                    }
                });
                if !self.follow {
                    return Ok(ExitCode::SUCCESS);
                }
                tokio::time::sleep(FOLLOW_INTERVAL).await;
            }
        })
    }
}

/// One process.
struct Source {
    name: String,
    operator: Operator,
    newest: Option<Stamp>,
    reached: bool,
}

fn sources(addresses: &[String], settings: Option<&Path>) -> Result<Vec<Source>, Failure> {
    let settings = settings.map(Settings::load).transpose()?;
    let token = operator::token(settings.as_ref());
    let mut named: BTreeMap<String, String> =
        addresses.iter().map(|address| (address.clone(), address.clone())).collect();
    if let Some(settings) = settings {
        let own = (settings.operator_listen.to_string(), settings.host.to_string());
        let peers = settings.peers.into_iter();
        named.extend(peers.map(|peer| (peer.operator_address, peer.host.to_string())));
        if named.is_empty() {
            named.extend([own]);
        }
    }
    if named.is_empty() {
        return Err(Failure::Unusable("name processes by --settings or --operator".to_owned()));
    }
    let source = |(address, name): (String, String)| {
        let operator = Operator::at(address, token.clone());
        Source { name, operator, newest: None, reached: true }
    };
    Ok(named.into_iter().map(source).collect())
}

/// Reads the events that are new since the last time, in the order of their stamps.
async fn read(sources: &mut [Source], follow: bool) -> Result<Vec<Event>, Failure> {
    let reads = sources.iter_mut().map(Source::read);
    let results = futures::future::join_all(reads).await;
    if !follow && results.iter().all(Result::is_err) {
        return Err(Failure::Unusable("no process can be reached".to_owned()));
    }
    let mut events: Vec<Event> = results.into_iter().flatten().flatten().collect();
    events.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    Ok(events)
}

impl Source {
    async fn read(&mut self) -> Result<Vec<Event>, Failure> {
        let after = self.newest.as_ref().map_or(0, |stamp| stamp.wall_ms);
        let read: Result<Vec<Event>, Failure> =
            self.operator.get(&format!("/v1/timeline?after_ms={after}")).await;
        if let Err(failure) = &read
            && self.reached
        {
            eprintln!("not reached: {}: {failure}", self.name);
        }
        self.reached = read.is_ok();
        let mut events = read?;
        events.retain(|event| self.newest.as_ref().is_none_or(|newest| event.stamp > *newest));
        self.newest = events.last().map(|event| event.stamp.clone()).or(self.newest.take());
        Ok(events)
    }
}

/// What an event must name to be printed.
struct Filter {
    wanted: Vec<(&'static str, Value)>,
}

impl Filter {
    fn new(command: &Timeline) -> Self {
        let text = |id: Option<String>| id.map(Value::String);
        let wanted = [
            ("request", text(command.request.as_ref().map(ToString::to_string))),
            ("team", text(command.team.as_ref().map(ToString::to_string))),
            ("target", text(command.target.as_ref().map(ToString::to_string))),
            ("order", text(command.order.as_ref().map(ToString::to_string))),
            ("revision", command.revision.map(|revision| Value::from(revision.get()))),
        ];
        let given = wanted.into_iter().filter_map(|(name, value)| Some((name, value?)));
        Self { wanted: given.collect() }
    }

    /// Returns whether the event names all that is wanted.
    fn admits(&self, event: &Event) -> bool {
        let kind = serde_json::to_value(&event.kind).expect("an event serializes");
        let fields = kind.as_object().and_then(|kind| kind.values().next());
        let field = |name: &str| fields.and_then(|fields| fields.get(name));
        self.wanted.iter().all(|(name, value)| field(name) == Some(value))
    }
}

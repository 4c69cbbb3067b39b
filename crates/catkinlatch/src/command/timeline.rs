//! `catkinlatch timeline`.

use super::{
    exit::{Failure, Outcome, block_on, print},
    operator::{self, Client},
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

/// How often new events are read with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Merges the most recent events of all processes, ordered by their hybrid logical clocks.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --settings host-1.jsonc --request r-17 --json",
    note = "Processes that cannot be reached are listed on standard error.",
    error_code(2, "no process can be reached")
)]
pub struct Timeline {
    /// the operator address of a process, as host:port; may be repeated
    #[argh(option)]
    operator: Vec<String>,
    /// the settings file of a node, which gives all processes and the operator token
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
    /// keeps printing new events until interrupted
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
                events.iter().filter(|event| filter.matches(event)).for_each(|event| {
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

/// A process that events are read from.
struct Source {
    name: String,
    client: Client,
    /// The newest event read so far; later reads return newer events only.
    newest: Option<Stamp>,
    /// Whether the last read succeeded; a failure is printed only once until the next success.
    is_reachable: bool,
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
        return Err(Failure::Unusable("give processes with --settings or --operator".to_owned()));
    }
    let source = |(address, name): (String, String)| {
        let client = Client::with_address(address, token.clone());
        Source { name, client, newest: None, is_reachable: true }
    };
    Ok(named.into_iter().map(source).collect())
}

/// Reads the events since the last read from all sources, ordered by their stamps.
///
/// # Errors
///
/// Returns an error if no source can be reached, unless `follow` is set.
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
            self.client.get(&format!("/v1/timeline?after_ms={after}")).await;
        if let Err(failure) = &read
            && self.is_reachable
        {
            eprintln!("not reached: {}: {failure}", self.name);
        }
        self.is_reachable = read.is_ok();
        let mut events = read?;
        events.retain(|event| self.newest.as_ref().is_none_or(|newest| event.stamp > *newest));
        self.newest = events.last().map(|event| event.stamp.clone()).or(self.newest.take());
        Ok(events)
    }
}

/// The fields, with their values, that an event must have to be printed.
struct Filter {
    required: Vec<(&'static str, Value)>,
}

impl Filter {
    fn new(command: &Timeline) -> Self {
        let text = |id: Option<String>| id.map(Value::String);
        let required = [
            ("request", text(command.request.as_ref().map(ToString::to_string))),
            ("team", text(command.team.as_ref().map(ToString::to_string))),
            ("target", text(command.target.as_ref().map(ToString::to_string))),
            ("order", text(command.order.as_ref().map(ToString::to_string))),
            ("revision", command.revision.map(|revision| Value::from(revision.get()))),
        ];
        let given = required.into_iter().filter_map(|(name, value)| Some((name, value?)));
        Self { required: given.collect() }
    }

    /// Returns whether the event has all required fields with the required values.
    fn matches(&self, event: &Event) -> bool {
        let kind = serde_json::to_value(&event.kind).expect("an event serializes");
        let fields = kind.as_object().and_then(|kind| kind.values().next());
        let field = |name: &str| fields.and_then(|fields| fields.get(name));
        self.required.iter().all(|(name, value)| field(name) == Some(value))
    }
}

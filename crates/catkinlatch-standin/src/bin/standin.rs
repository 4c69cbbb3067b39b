//! Runs a stand-in as a process, for development only; not part of a release.

use argh::FromArgs;
use catkinlatch_base::{ModelId, RouteId, TargetId, ZoneId};
use catkinlatch_standin::{
    engine::{self, Engine, Fault},
    platform::Platform,
    service::Service,
};
use std::{future, net::SocketAddr, process::ExitCode, time::Duration};

/// Runs one stand-in until the process is ended.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} engine --listen 127.0.0.1:9100 --announce 127.0.0.1:7100 --model draft --crash-on bad"
)]
struct Standin {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineCommand),
    Service(ServiceCommand),
    Platform(PlatformCommand),
}

/// A model engine; GET /standin/records returns its runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// address of a node to announce itself to; may be repeated
    #[argh(option)]
    announce: Vec<SocketAddr>,
    /// id of the target
    #[argh(option, default = "parse_id(\"engine-1\")")]
    id: TargetId,
    /// model that it serves
    #[argh(option, default = "parse_id(\"draft\")")]
    model: ModelId,
    /// availability zone of the target
    #[argh(option, default = "parse_id(\"zone-1\")")]
    zone: ZoneId,
    /// number of requests that it runs concurrently
    #[argh(option, default = "8")]
    slots: u32,
    /// time to generate one token, in milliseconds
    #[argh(option, default = "2")]
    token_ms: u64,
    /// crashes while it answers prompts that contain this text; may be repeated
    #[argh(option)]
    crash_on: Vec<String>,
    /// answers prompts that contain this text with the id of another request; may be repeated
    #[argh(option)]
    wrong_id_on: Vec<String>,
    /// closes the connection during answers to prompts that contain this text, but continues to
    /// generate; may be repeated
    #[argh(option)]
    break_on: Vec<String>,
    /// number of tokens after which it closes the connection
    #[argh(option, default = "4")]
    break_after_tokens: u64,
    /// does not resume answers that another engine started
    #[argh(switch)]
    no_resume: bool,
    /// accepts orders with an outdated fencing token
    #[argh(switch)]
    ignore_fencing: bool,
    /// ends the process without notice after this time, in milliseconds
    #[argh(option)]
    vanish_after_ms: Option<u64>,
}

/// A plain service that echoes request bodies; GET on any path returns its runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// address of a node to announce itself to; may be repeated
    #[argh(option)]
    announce: Vec<SocketAddr>,
    /// id of the target
    #[argh(option, default = "parse_id(\"service-1\")")]
    id: TargetId,
    /// route that it serves
    #[argh(option, default = "parse_id(\"survey\")")]
    route: RouteId,
    /// availability zone of the target
    #[argh(option, default = "parse_id(\"zone-1\")")]
    zone: ZoneId,
}

/// A platform; GET /standin/reports returns the usage reports that it received.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let ended = match argh::from_env::<Standin>().command {
        Command::Engine(command) => command.run().await,
        Command::Service(command) => command.run().await,
        Command::Platform(command) => command.run().await,
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

impl EngineCommand {
    async fn run(self) -> Result<(), String> {
        #[allow(clippy::needless_update, reason = "options without a flag keep their defaults")]
        let options = engine::Options {
            slots: self.slots,
            token_time: Duration::from_millis(self.token_ms),
            resumes: !self.no_resume,
            checks_fencing: !self.ignore_fencing,
            faults: self.faults(),
            ..engine::Options::default()
        };
        let (listen, announce) = (self.listen, self.announce);
        let _engine =
            Engine::start(self.id, self.model, self.zone, options, listen, announce).await?;
        match self.vanish_after_ms {
            Some(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            None => future::pending().await,
        }
        Ok(())
    }

    /// Returns the faults with the text in a prompt that triggers each.
    fn faults(&self) -> Vec<(String, Fault)> {
        let break_connection = Fault::Break { after_tokens: self.break_after_tokens };
        let triggered_by = |triggers: &[String], fault: Fault| -> Vec<(String, Fault)> {
            triggers.iter().map(|trigger| (trigger.clone(), fault)).collect()
        };
        [
            triggered_by(&self.crash_on, Fault::Crash),
            triggered_by(&self.wrong_id_on, Fault::WrongId),
            triggered_by(&self.break_on, break_connection),
        ]
        .concat()
    }
}

impl ServiceCommand {
    async fn run(self) -> Result<(), String> {
        let (listen, announce) = (self.listen, self.announce);
        let _service = Service::start(self.id, self.route, self.zone, listen, announce).await?;
        future::pending().await
    }
}

impl PlatformCommand {
    async fn run(self) -> Result<(), String> {
        let _platform = Platform::start(self.listen).await?;
        future::pending().await
    }
}

fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("the id {text:?} is valid") };
    id
}

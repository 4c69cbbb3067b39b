//! Stand-ins as processes of their own, for development; not shipped.

use argh::FromArgs;
use catkinlatch_base::{ModelId, RouteId, TargetId, ZoneId};
use catkinlatch_standin::{
    engine::{self, Engine, Fault},
    platform::Platform,
    service::Service,
};
use std::{future, net::SocketAddr, process::ExitCode, time::Duration};

/// Runs one stand-in until it is ended.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} engine --listen 127.0.0.1:9100 --announce 127.0.0.1:7100 --model draft --crash-on bad"
)]
struct Standin {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Engine(EngineVerb),
    Service(ServiceVerb),
    Platform(PlatformVerb),
}

/// A model engine; GET /standin/records tells what it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineVerb {
    /// where it listens
    #[argh(option)]
    listen: SocketAddr,
    /// a node that it announces itself to; may be given again
    #[argh(option)]
    announce: Vec<SocketAddr>,
    /// its name
    #[argh(option, default = "named(\"engine-1\")")]
    id: TargetId,
    /// the model that it serves
    #[argh(option, default = "named(\"draft\")")]
    model: ModelId,
    /// its availability zone
    #[argh(option, default = "named(\"zone-1\")")]
    zone: ZoneId,
    /// how many requests it runs at one time
    #[argh(option, default = "8")]
    slots: u32,
    /// how long one token takes, in milliseconds
    #[argh(option, default = "2")]
    token_ms: u64,
    /// crashes on prompts that hold this mark; may be given again
    #[argh(option)]
    crash_on: Vec<String>,
    /// answers prompts that hold this mark under another id; may be given again
    #[argh(option)]
    wrong_id_on: Vec<String>,
    /// breaks off answers to prompts that hold this mark; may be given again
    #[argh(option)]
    break_on: Vec<String>,
    /// after how many tokens answers break off
    #[argh(option, default = "4")]
    break_after_tokens: u64,
    /// cannot go on with an answer that another engine began
    #[argh(switch)]
    no_resume: bool,
    /// takes orders with an old fencing number
    #[argh(switch)]
    ignore_fencing: bool,
    /// ends the process without a word after this time, in milliseconds
    #[argh(option)]
    vanish_after_ms: Option<u64>,
}

/// A plain service that answers with the body that came; GET on any path tells what it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceVerb {
    /// where it listens
    #[argh(option)]
    listen: SocketAddr,
    /// a node that it announces itself to; may be given again
    #[argh(option)]
    announce: Vec<SocketAddr>,
    /// its name
    #[argh(option, default = "named(\"service-1\")")]
    id: TargetId,
    /// the route that it serves
    #[argh(option, default = "named(\"survey\")")]
    route: RouteId,
    /// its availability zone
    #[argh(option, default = "named(\"zone-1\")")]
    zone: ZoneId,
}

/// A platform; GET /standin/reports tells which usage reports came.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformVerb {
    /// where it listens
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let ended = match argh::from_env::<Standin>().verb {
        Verb::Engine(verb) => verb.run().await,
        Verb::Service(verb) => verb.run().await,
        Verb::Platform(verb) => verb.run().await,
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

impl EngineVerb {
    async fn run(self) -> Result<(), String> {
        #[allow(clippy::needless_update, reason = "what is not named here keeps its default")]
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

    /// Returns the faults by the mark that calls for them.
    fn faults(&self) -> Vec<(String, Fault)> {
        let broken = Fault::Break { after_tokens: self.break_after_tokens };
        let marks = |marks: &[String], fault: Fault| -> Vec<(String, Fault)> {
            marks.iter().map(|mark| (mark.clone(), fault)).collect()
        };
        [
            marks(&self.crash_on, Fault::Crash),
            marks(&self.wrong_id_on, Fault::WrongId),
            marks(&self.break_on, broken),
        ]
        .concat()
    }
}

impl ServiceVerb {
    async fn run(self) -> Result<(), String> {
        let (listen, announce) = (self.listen, self.announce);
        let _service = Service::start(self.id, self.route, self.zone, listen, announce).await?;
        future::pending().await
    }
}

impl PlatformVerb {
    async fn run(self) -> Result<(), String> {
        let _platform = Platform::start(self.listen).await?;
        future::pending().await
    }
}

fn named<T: std::str::FromStr>(text: &str) -> T {
    let Ok(id) = text.parse() else { panic!("the id {text:?} is valid") };
    id
}

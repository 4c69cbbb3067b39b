//! `catkinlatch serve`.

use super::exit::{FORCED_EXIT_CODE, Failure, Outcome, block_on, print};
use argh::FromArgs;
use catkinlatch_node::{Server, Settings};
use log::{info, warn};
use std::{
    io,
    path::PathBuf,
    process::{self, ExitCode},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs a node until SIGTERM or SIGINT; a second signal aborts the graceful shutdown.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "serve",
    example = "{command_name} --settings host-1.jsonc",
    error_code(1, "the settings have faults, or the node failed to start or to shut down"),
    error_code(130, "a second signal aborted the shutdown")
)]
pub struct Serve {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Serve {
    /// Runs the node until it is stopped or drained.
    pub fn run(self) -> Outcome {
        let settings = Settings::load(&self.settings)?;
        block_on(serve(settings)).map_err(|error| Failure::Failed(format!("serve: {error}")))?;
        Ok(ExitCode::SUCCESS)
    }
}

async fn serve(settings: Settings) -> Result<(), String> {
    let mut signals = Signals::new().map_err(|error| error.to_string())?;
    let host = settings.host.clone();
    let server = Server::start(settings).await.map_err(|error| error.to_string())?;
    let (callers, operators) = (server.address(), server.operator_address());
    print(format!("{host} serves callers on {callers} and operators on {operators}"));
    tokio::select! {
        () = signals.next() => {}
        () = server.node().drain.wait_begun() => {}
    }
    info!("serve: host {host} is draining; a second signal aborts the shutdown");
    tokio::spawn(async move {
        signals.next().await;
        warn!("serve: second signal received; aborting requests in flight");
        process::exit(FORCED_EXIT_CODE);
    });
    server.drain().await?;
    info!("serve: host {host} stopped");
    Ok(())
}

/// The signals that stop a node: SIGTERM and SIGINT.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

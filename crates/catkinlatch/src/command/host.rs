//! `catkinlatch host`.

use super::exit::{Failure, Outcome};
use argh::FromArgs;
use catkinlatch_base::{HostId, random};
use catkinlatch_runtime::{Settings, logger};
use log::{error, info, warn};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, SystemTime},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time,
};

/// How often the settings file is checked for changes that come without a SIGHUP.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Runs one host of a deployment, in the role given by its settings, until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "host",
    example = "{command_name} --settings host.jsonc",
    error_code(1, "the settings have faults, or the process cannot start")
)]
pub struct Host {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Host {
    /// Runs the host until it is stopped.
    pub fn run(self) -> Outcome {
        logger::start();
        let loaded = modified(&self.settings);
        let settings = Settings::load(&self.settings).map_err(|fault| {
            error!("host: {fault}");
            Failure::Failed(fault.to_string())
        })?;
        random::seed_thread();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| Failure::Failed(error.to_string()))?;
        let ended = runtime.block_on(run(&self.settings, loaded, settings)).map_err(|reason| {
            error!("host: {reason}");
            Failure::Failed(reason)
        });
        // Aborts tasks that are still running, as the time allowed for the shutdown is over.
        runtime.shutdown_background();
        info!("host: ends");
        logger::flush();
        ended.map(|()| ExitCode::SUCCESS)
    }
}

async fn run(path: &Path, loaded: Option<SystemTime>, settings: Settings) -> Result<(), String> {
    let (stop, stopped) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("host: stop signal received");
        stop.send_replace(true);
    });
    let (seeds_changed, seeds) = watch::channel(settings.seed_hosts());
    tokio::spawn(watch_settings(path.to_owned(), loaded, seeds_changed));
    tokio::spawn(logger::report_dropped_lines());
    if settings.control_address.is_some() {
        return catkinlatch_store::run(settings, seeds, stopped)
            .await
            .map_err(|error| error.to_string());
    }
    catkinlatch_entry::run(settings, seeds, stopped).await.map_err(|error| error.to_string())
}

/// Loads the settings again after SIGHUP or a change of the file since it was `loaded`, and logs
/// the result.
///
/// New seeds take effect at once; other changes do so at the next start.
async fn watch_settings(
    path: PathBuf,
    loaded: Option<SystemTime>,
    seeds: watch::Sender<Vec<HostId>>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut changed = loaded;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = time::sleep(SETTINGS_POLL) => {
                let now = modified(&path);
                if now == changed {
                    continue;
                }
                changed = now;
            }
        }
        match Settings::load(&path) {
            Ok(settings) => {
                info!(seeds:? = settings.seeds; "host: read the settings again");
                seeds.send_replace(settings.seed_hosts());
            }
            Err(fault) => warn!("host: changed settings are invalid: {fault}"),
        }
    }
}

/// Returns when the file was last modified, or nothing if that cannot be read.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

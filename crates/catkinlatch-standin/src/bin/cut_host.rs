//! Runs one host like `catkinlatch host`, whose connections to targets can be cut.

use argh::FromArgs;
use catkinlatch_runtime::{Settings, logger};
use catkinlatch_standin::cut;
use std::{error::Error, path::PathBuf};
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Runs one host of a deployment until SIGTERM. Its connections to targets are cut while a file
/// beside the settings, with the extension `cut`, names a cut.
#[derive(FromArgs)]
struct Arguments {
    /// the subcommand that `catkinlatch` takes: `host`
    #[argh(positional)]
    _command: String,
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> Result<(), Box<dyn Error>> {
    logger::start();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = runtime.block_on(run(argh::from_env()));
    // Aborts tasks that are still running, as the time allowed for the shutdown is over.
    runtime.shutdown_background();
    logger::flush();
    ended
}

async fn run(Arguments { settings: path, .. }: Arguments) -> Result<(), Box<dyn Error>> {
    let settings = Settings::load(&path)?;
    let (stop, stopped) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::spawn(async move {
        terminate.recv().await;
        stop.send_replace(true);
    });
    let connect = cut::connect(cut::follow(cut::file(&path)));
    if settings.control_address.is_some() {
        return Ok(catkinlatch_store::run_with(settings, connect, stopped).await?);
    }
    Ok(catkinlatch_entry::run_with(settings, connect, stopped).await?)
}

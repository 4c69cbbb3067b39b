//! Opens a failed storage again once its disk works.

use super::storage::{self, Opened};
use catkinlatch_log::storage::{Files, Trust};
use log::{info, warn};
use std::{path::PathBuf, time::Duration};
use tokio::{
    sync::oneshot,
    task,
    time::{self, Instant},
};

/// Pause between two trials of a failed disk.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Starts to try the disk; the receiver gets the opened storage, once.
pub fn start(folder: PathBuf, trust: Trust) -> oneshot::Receiver<Opened> {
    let (opened, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let _ = opened.send(run(folder, trust).await);
    });
    receiver
}

async fn run(folder: PathBuf, trust: Trust) -> Opened {
    let start = Instant::now();
    loop {
        time::sleep(TRIAL_INTERVAL).await;
        let folder = folder.clone();
        let trial =
            task::spawn_blocking(move || storage::reopen(&Files::new(), &folder, trust)).await;
        let failed_for_ms = start.elapsed().as_millis() as u64;
        match trial {
            Ok(Ok(opened)) => {
                info!(
                    trust:? = trust, failed_for_ms = failed_for_ms;
                    "control: the disk works again; this host joins the control log"
                );
                return opened;
            }
            Ok(Err(error)) => warn!(
                error:% = error, failed_for_ms = failed_for_ms;
                "control: the disk still fails"
            ),
            Err(error) => warn!(
                error:% = error, failed_for_ms = failed_for_ms;
                "control: the trial of the disk broke off"
            ),
        }
    }
}

//! Keeps on disk which builds of targets' software ran lately, for the next process on this host: the
//! replicated state does not say which one generated the text of an item.

use crate::host::Host;
use catkinlatch_ledger::build::Recent;
use catkinlatch_runtime::file;
use catkinlatch_wire::codec;
use log::{info, warn};
use std::{fs, io, path::Path, sync::Arc, time::Duration};
use tokio::{task, time};

/// Name of the file within the data folder.
const FILE: &str = "builds";

/// Interval at which changes are written. The text of an item is not recorded before the item has run
/// for longer.
const INTERVAL: Duration = Duration::from_millis(250);

/// Returns the builds that ran before this process; none if no earlier one kept them.
pub fn load(data_folder: &Path) -> Recent {
    let decoded = match fs::read(data_folder.join(FILE)) {
        Ok(bytes) => codec::decode(&bytes).map_err(|error| error.to_string()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Recent::default()),
        Err(error) => Err(error.to_string()),
    };
    decoded.unwrap_or_else(|error| {
        warn!(error = error.as_str(); "targets: cannot read which builds ran before");
        Recent::default()
    })
}

/// Replaces the builds that a later process finds.
///
/// # Errors
///
/// Returns an error if the file cannot be written; an earlier one then remains.
pub fn save(data_folder: &Path, builds: &Recent) -> io::Result<()> {
    file::replace(&data_folder.join(FILE), &codec::encode(builds))
}

/// Saves the builds whenever others run, whether or not this host leads; never returns.
pub async fn watch(host: Arc<Host>) {
    let Some(folder) = host.settings.data_folder.clone() else { return };
    let mut revision = host.revision();
    let mut saved = load(&folder);
    let mut is_failing = false;
    loop {
        if !is_failing && revision.changed().await.is_err() {
            return;
        }
        time::sleep(INTERVAL).await;
        revision.mark_unchanged();
        let builds = host.soft_state().observe_builds(host.clock.now());
        if builds == saved {
            is_failing = false;
            continue;
        }
        let (path, written) = (folder.clone(), builds.clone());
        match task::spawn_blocking(move || save(&path, &written)).await {
            Ok(Ok(())) => {
                info!(services = builds.len(); "targets: saved which builds run");
                (saved, is_failing) = (builds, false);
            }
            Ok(Err(error)) => {
                if !is_failing {
                    warn!(error:% = error; "targets: cannot save which builds run");
                }
                is_failing = true;
            }
            Err(_) => is_failing = true,
        }
    }
}

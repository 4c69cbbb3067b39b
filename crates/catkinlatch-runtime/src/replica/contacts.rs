//! Keeps on disk which hosts held state lately: a host that votes for nobody holds no entry that names
//! them, and its seeds may hold no state.

use super::Status;
use crate::file;
use catkinlatch_base::HostId;
use catkinlatch_ledger::State;
use catkinlatch_log::Core;
use catkinlatch_wire::codec;
use log::warn;
use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{sync::watch, task};

/// Name of the file within the data folder.
const FILE: &str = "contacts";

/// Returns the hosts that an earlier process kept; none if there is no file.
pub fn load(data_folder: &Path) -> Vec<HostId> {
    let decoded = match fs::read(data_folder.join(FILE)) {
        Ok(bytes) => codec::decode(&bytes).map_err(|error| error.to_string()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error.to_string()),
    };
    decoded.unwrap_or_else(|error| {
        warn!(error = error.as_str(); "control: cannot read which hosts held state");
        Vec::new()
    })
}

/// Saves the hosts that the core has heard from whenever others are known after a change of the
/// status, until the replica ends.
pub async fn watch(
    core: Arc<Mutex<Core<State>>>,
    mut status: watch::Receiver<Status>,
    data_folder: PathBuf,
) {
    let mut saved = load(&data_folder);
    while status.changed().await.is_ok() {
        let contacts: Vec<HostId> = {
            let core = core.lock().unwrap_or_else(PoisonError::into_inner);
            core.contacts().cloned().collect()
        };
        if contacts == saved {
            continue;
        }
        let (path, bytes) = (data_folder.join(FILE), codec::encode(&contacts));
        match task::spawn_blocking(move || file::replace(&path, &bytes)).await {
            Ok(Ok(())) => saved = contacts,
            Ok(Err(error)) => {
                warn!(error:% = error; "control: cannot save which hosts held state");
            }
            Err(_) => {}
        }
    }
}

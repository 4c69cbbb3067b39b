//! Storage of the log on disk.

use crate::settings::CLUSTER;
use catkinlatch_base::{Incarnation, random};
use catkinlatch_ledger::Command;
use catkinlatch_log::{
    Group, Restored,
    storage::{Disk, Files, OpenError, Trust},
};
use log::error;
use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::Path,
};

/// Name of the log's folder within the data folder.
const FOLDER: &str = "log";

/// Name of the folder to which a damaged log is moved, within the data folder.
const DAMAGED_FOLDER: &str = "log.damaged";

/// Name of the file that is written to find out whether a failed disk works again.
const TRIAL_FILE: &str = "trial";

/// Size of the trial file in bytes: room for the writes that follow at once.
const TRIAL_BYTES: usize = 1 << 20;

/// The opened storage of the log.
#[derive(Debug)]
pub struct Opened {
    /// Identity of this host in the log; a new one if the storage was empty or damaged.
    pub identity: Incarnation,
    /// The open files.
    pub disk: Disk,
    /// Contents of the files.
    pub restored: Restored<Command>,
}

/// Opens the log's storage.
///
/// A damaged log is moved aside, and the host joins under a new identity: under it, the host has
/// neither voted nor acknowledged anything, and it restores its state from the other hosts.
pub fn open(files: &Files, data_folder: &Path) -> Result<Opened, OpenError> {
    match open_folder(files, &data_folder.join(FOLDER)) {
        Err(damage @ OpenError::Damaged { .. }) => {
            error!("control: the log is damaged; this host joins as a new member: {damage}");
            move_aside(files, data_folder)?;
            open_folder(files, &data_folder.join(FOLDER))
        }
        opened => opened,
    }
}

/// Opens the log's storage again after it failed, if the disk works.
///
/// The log is emptied, and the host gets a new identity, unless its synced content is on disk.
///
/// # Errors
///
/// Returns an error if the disk still fails; the attempt may be repeated.
pub fn reopen(files: &Files, data_folder: &Path, trust: Trust) -> Result<Opened, OpenError> {
    let trial = data_folder.join(TRIAL_FILE);
    try_write(&trial).map_err(|error| OpenError::Io { path: trial, error })?;
    match trust {
        Trust::Synced => open(files, data_folder),
        Trust::Nothing => {
            // Renamed first, so that no restart finds a part of it.
            move_aside(files, data_folder)?;
            let _ = files.remove_folder(&data_folder.join(DAMAGED_FOLDER));
            open_folder(files, &data_folder.join(FOLDER))
        }
    }
}

/// Writes, syncs and removes a file.
fn try_write(path: &Path) -> io::Result<()> {
    let written = File::create(path).and_then(|mut file| {
        file.write_all(&[0; TRIAL_BYTES])?;
        file.sync_all()
    });
    let removed = fs::remove_file(path);
    written.and(removed)
}

fn open_folder(files: &Files, folder: &Path) -> Result<Opened, OpenError> {
    let cluster = CLUSTER.parse().expect("the name is valid");
    let mut random = random::generator();
    let opened = Disk::open_in(files.clone(), folder, cluster, Group::default(), &mut random)?;
    Ok(Opened { identity: opened.incarnation, disk: opened.disk, restored: opened.restored })
}

/// Moves the log's folder to [`DAMAGED_FOLDER`] durably, and replaces an earlier one there.
fn move_aside(files: &Files, data_folder: &Path) -> Result<(), OpenError> {
    let folder = data_folder.join(FOLDER);
    let aside = data_folder.join(DAMAGED_FOLDER);
    let _ = files.remove_folder(&aside);
    match files.rename(&folder, &aside) {
        // An earlier attempt failed after it had moved the log.
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        moved => moved.map_err(|error| OpenError::Io { path: folder, error }),
    }
}

//! The files of the log.

use crate::settings::CLUSTER;
use catkinlatch_base::Incarnation;
use catkinlatch_ledger::Command;
use catkinlatch_log::{
    Group, Restored,
    storage::{Disk, OpenError},
};
use log::error;
use std::{fs, path::Path};

/// The folder of the log within the data folder.
const FOLDER: &str = "log";

/// Where files that cannot be read are put aside.
const DAMAGED_FOLDER: &str = "log.damaged";

/// The storage of a host that starts.
#[derive(Debug)]
pub struct Opened {
    /// Identifies the host in the log.
    pub identity: Incarnation,
    /// The files.
    pub disk: Disk,
    /// What the files hold.
    pub restored: Restored<Command>,
}

/// Opens the files of the log.
///
/// Files that are damaged are put aside, and the host joins under a new identity: it has then
/// neither voted nor acknowledged anything, and takes its state from the others.
pub fn open(data_folder: &Path) -> Result<Opened, OpenError> {
    match open_folder(&data_folder.join(FOLDER)) {
        Err(damage @ OpenError::Damaged { .. }) => {
            error!("control: the log cannot be read; joins as a new member: {damage}");
            put_aside(data_folder);
            open_folder(&data_folder.join(FOLDER))
        }
        opened => opened,
    }
}

fn open_folder(folder: &Path) -> Result<Opened, OpenError> {
    let cluster = CLUSTER.parse().expect("the name is valid");
    let mut random = fastrand::Rng::new();
    let opened = Disk::open(folder, cluster, Group::default(), &mut random)?;
    Ok(Opened { identity: opened.incarnation, disk: opened.disk, restored: opened.restored })
}

fn put_aside(data_folder: &Path) {
    let aside = data_folder.join(DAMAGED_FOLDER);
    let _ = fs::remove_dir_all(&aside);
    if let Err(error) = fs::rename(data_folder.join(FOLDER), &aside) {
        error!("control: the damaged log cannot be put aside: {error}");
    }
}

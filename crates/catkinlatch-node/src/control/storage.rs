//! Storage of the control log: in files that a separate thread writes, or in memory.

use crate::Settings;
use catkinlatch_base::{Incarnation, random};
use catkinlatch_log::{
    Group, Input, Restored, Write,
    storage::{Completion, Disk, OpenError, Writer},
};
use catkinlatch_state::Command;
use tokio::sync::mpsc;

/// The subfolder of the data folder that holds the control log.
const FOLDER: &str = "control";

/// The storage of the control log as opened at the start of a node.
#[derive(Debug)]
pub struct OpenedStorage {
    /// The identity of the node in the control log; new at each start on a host without a disk.
    pub identity: Incarnation,
    /// The files; `None` on a host without a disk.
    pub disk: Option<Disk>,
    /// What was restored from the files; `None` on a host without a disk.
    pub restored: Option<Restored<Command>>,
}

/// Opens the data folder of the settings, or prepares storage in memory if they name none.
///
/// # Errors
///
/// Returns why the data folder cannot be used.
pub fn open_storage(settings: &Settings) -> Result<OpenedStorage, OpenError> {
    let mut random = random::generator();
    let Some(folder) = &settings.data_folder else {
        let identity = Incarnation::generate(&mut random);
        return Ok(OpenedStorage { identity, disk: None, restored: None });
    };
    let cluster = settings.cluster.clone();
    let opened = Disk::open(&folder.join(FOLDER), cluster, Group::default(), &mut random)?;
    Ok(OpenedStorage {
        identity: opened.incarnation,
        disk: Some(opened.disk),
        restored: Some(opened.restored),
    })
}

/// Executes writes and reports when they are durable.
pub enum Storage {
    /// Keeps nothing beyond the process; writes count as durable at once.
    Memory(Vec<Input<Command>>),
    /// Has a thread write and sync files.
    Disk(Writer<Command>),
}

impl Storage {
    /// Starts the thread if there are files; it reports synced writes through `completions`.
    pub fn start(disk: Option<Disk>, completions: mpsc::UnboundedSender<Input<Command>>) -> Self {
        match disk {
            Some(disk) => {
                let complete =
                    move |completion: Completion| completions.send(completion.into()).is_ok();
                Self::Disk(Writer::start(disk, complete))
            }
            None => Self::Memory(Vec::new()),
        }
    }

    /// Starts a write.
    pub fn write(&mut self, write: Write<Command>) {
        match self {
            Self::Memory(completions) => {
                completions.push(Input::Persisted { through: write.number })
            }
            Self::Disk(writer) => writer.write(write),
        }
    }

    /// Removes and returns the completions of writes in memory; those of files are reported through
    /// the channel given to [`Self::start`].
    pub fn take_completions(&mut self) -> Vec<Input<Command>> {
        match self {
            Self::Memory(completions) => std::mem::take(completions),
            Self::Disk(_) => Vec::new(),
        }
    }
}

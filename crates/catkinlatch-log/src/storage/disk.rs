//! On-disk storage of one group: identity, snapshot and write-ahead log.

use super::{
    OpenError, Restored, Write,
    file::{self, Files, Handle},
    record::{Body, Record},
    scan::{Records, Source},
};
use crate::{Group, HardState, Snapshot};
use catkinlatch_base::{ClusterId, Incarnation, Term};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fs::{File, TryLockError},
    io::{self, BufWriter, Write as _},
    path::{Path, PathBuf},
    sync::Arc,
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// Number of bytes of a snapshot that are written at once.
const WRITE_BYTES: usize = 1 << 18;

/// On-disk storage of one group, in a folder of its own.
///
/// All calls block, so a driver must make them on a thread that may block. After any error the
/// files are not written again, since it is unknown how much of the last write reached the disk.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    cluster: ClusterId,
    group: Group,
    files: Files,
    log: Handle,
    /// Length of the log that is known to be synced, in bytes.
    synced: u64,
    /// Whether there are unsynced writes.
    is_dirty: bool,
    hard_state: HardState,
    has_failed: bool,
    has_failed_sync: bool,
    /// Excludes other processes while it is open.
    _lock: File,
}

/// Result of opening a folder.
#[derive(Debug)]
pub struct Opened<C> {
    /// Storage, ready for writes.
    pub disk: Disk,
    /// Identity that the folder belongs to; newly drawn for an empty folder.
    pub incarnation: Incarnation,
    /// State restored from the files.
    pub restored: Restored<C>,
}

impl Disk {
    /// Opens a folder, creating it if it is missing, and truncates a torn tail of unsynced records.
    ///
    /// # Errors
    ///
    /// Returns an [`OpenError`] if the folder cannot be used. Synced content is never dropped
    /// silently.
    pub fn open<C: Serialize + DeserializeOwned>(
        folder: &Path,
        cluster: ClusterId,
        group: Group,
        random: &mut fastrand::Rng,
    ) -> Result<Opened<C>, OpenError> {
        Self::open_in(Files::new(), folder, cluster, group, random)
    }

    /// Does the same as [`Disk::open`] with the given access to files.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Disk::open`].
    pub fn open_in<C: Serialize + DeserializeOwned>(
        files: Files,
        folder: &Path,
        cluster: ClusterId,
        group: Group,
        random: &mut fastrand::Rng,
    ) -> Result<Opened<C>, OpenError> {
        files.create_folder(folder).map_err(|error| io_error(folder, error))?;
        let lock = lock(folder)?;
        let path = folder.join(LOG_FILE);
        let source = Source { path: &path, cluster: &cluster, group };
        let file = file::open(&path).map_err(|error| io_error(&path, error))?;
        let has_log = file.is_some();
        let records = file.map_or_else(|| source.read(io::empty()), |file| source.read(file))?;
        let length = records.length;
        let snapshot = read_snapshot::<C>(folder, &cluster, group)?;
        let (restored, has_replaced) = replay(&source, records, snapshot)?;
        let identity = read_identity(folder, &cluster, group)?;
        if identity.is_some() && !has_log {
            return Err(source.damaged(0, "there is an identity but no log"));
        }
        if identity.is_none() && !restored.is_empty() {
            return Err(source.damaged(0, "there is a log but no identity"));
        }
        let log = open_log(&files, folder, length).map_err(|error| io_error(&path, error))?;
        let incarnation = match identity {
            Some(incarnation) => incarnation,
            None => create_identity(&files, folder, &cluster, group, random)?,
        };
        let mut disk = Self {
            folder: folder.into(),
            cluster,
            group,
            files,
            log,
            synced: length,
            is_dirty: false,
            hard_state: restored.hard_state,
            has_failed: false,
            has_failed_sync: false,
            _lock: lock,
        };
        if has_replaced {
            // Otherwise the next entry would follow entries that it has no connection to.
            let (hard_state, entries) = (Some(restored.hard_state), restored.entries.clone());
            let write = Write { hard_state, entries, ..Write::new(0) };
            disk.guard(|disk| disk.replace_log(&write)).map_err(|error| io_error(&path, error))?;
        }
        Ok(Opened { disk, incarnation, restored })
    }

    /// Appends a write to the log, or replaces snapshot and log if the write contains a snapshot.
    /// Appended records are durable only after [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or an error if an earlier operation failed. The
    /// caller must then deliver [`crate::Input::StorageFailed`].
    pub fn write<C: Serialize>(&mut self, write: &Write<C>) -> io::Result<()> {
        self.guard(|disk| match &write.snapshot {
            Some(snapshot) => disk.write_snapshot(snapshot, write),
            None => disk.append(write),
        })
    }

    /// Makes all writes durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or an error if an earlier operation failed. The
    /// caller must then deliver [`crate::Input::StorageFailed`].
    pub fn sync(&mut self) -> io::Result<()> {
        self.guard(|disk| {
            if !disk.is_dirty {
                return Ok(());
            }
            let synced = disk.log.sync_data();
            disk.has_failed_sync = synced.is_err();
            synced?;
            disk.is_dirty = false;
            disk.mark_synced()
        })
    }

    /// Returns whether the log could not be synced.
    pub fn has_failed_sync(&self) -> bool {
        self.has_failed_sync
    }

    /// Appends a record of the synced length, which lets a restart distinguish damage from a torn
    /// tail.
    ///
    /// The record itself is not synced; the next record carries the same length.
    fn mark_synced(&mut self) -> io::Result<()> {
        self.synced = self.log.length();
        let mark = self.encode::<()>([Body::Synced])?;
        self.log.write(&mark)
    }

    /// Runs an operation unless an earlier one failed, and records whether it fails.
    fn guard(&mut self, operation: impl FnOnce(&mut Self) -> io::Result<()>) -> io::Result<()> {
        if self.has_failed {
            return Err(io::Error::other("an earlier write failed; restart the node"));
        }
        let result = operation(self);
        self.has_failed = result.is_err();
        result
    }

    fn append<C: Serialize>(&mut self, write: &Write<C>) -> io::Result<()> {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        let bytes = self.encode(bodies(write))?;
        self.log.write(&bytes)?;
        self.is_dirty = true;
        Ok(())
    }

    /// Replaces the snapshot, and then the log by the entries that go with it.
    ///
    /// A crash in between leaves the old log, whose entries either lead up to the snapshot or are
    /// recognized as replaced by it, and dropped when the folder is opened.
    fn write_snapshot<C: Serialize>(
        &mut self,
        snapshot: &Arc<Snapshot>,
        write: &Write<C>,
    ) -> io::Result<()> {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        self.synced = 0;
        let record = self.record::<()>(Body::Snapshot(snapshot.clone()));
        self.files.replace_with(&self.folder.join(SNAPSHOT_FILE), |handle| {
            let mut writer = BufWriter::with_capacity(WRITE_BYTES, Appender(handle));
            record.write(&mut writer)?;
            writer.flush()
        })?;
        self.replace_log(write)
    }

    /// Replaces the log by the hard state and the entries of a write.
    fn replace_log<C: Serialize>(&mut self, write: &Write<C>) -> io::Result<()> {
        self.synced = 0;
        let content = self.encode(bodies(write))?;
        self.log = self.files.replace(&self.folder.join(LOG_FILE), &content)?;
        self.is_dirty = false;
        self.mark_synced()
    }

    fn encode<C: Serialize>(
        &self,
        bodies: impl IntoIterator<Item = Body<C>>,
    ) -> io::Result<Vec<u8>> {
        let mut buffer = Vec::new();
        for body in bodies {
            self.record(body).encode(&mut buffer).map_err(io::Error::other)?;
        }
        Ok(buffer)
    }

    fn record<C>(&self, body: Body<C>) -> Record<C> {
        let (cluster, group) = (self.cluster.clone(), self.group);
        Record { cluster, group, term: self.hard_state.term, synced: self.synced, body }
    }
}

/// Appends what is written to a file.
struct Appender<'a>(&'a mut Handle);

impl io::Write for Appender<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the record bodies of a write, in order.
fn bodies<C>(write: &Write<C>) -> impl Iterator<Item = Body<C>> {
    let hard_state = write.hard_state.map(Body::HardState);
    let truncate = write.truncate.map(Body::Truncate);
    let entries = write.entries.iter().cloned().map(Body::Entry);
    hard_state.into_iter().chain(truncate).chain(entries)
}

/// Restores the state from the records of the log, and returns whether entries that a snapshot
/// replaces were dropped.
fn replay<C>(
    source: &Source<'_>,
    records: Records<C>,
    snapshot: Option<Arc<Snapshot>>,
) -> Result<(Restored<C>, bool), OpenError> {
    let mut restored = Restored { snapshot, ..Restored::default() };
    let mut has_replaced = false;
    for (offset, record) in records.list {
        match record.body {
            Body::HardState(hard_state) => restored.hard_state = hard_state,
            Body::Truncate(from) => restored.truncate(from),
            Body::Entry(entry) => {
                // Earlier builds continued the log without dropping them.
                has_replaced |= restored.drop_replaced_before(&entry);
                if restored.entries.last().is_some_and(|last| entry.index != last.index.next()) {
                    let reason = format!("entry {} is out of order", entry.index);
                    return Err(source.damaged(offset, reason));
                }
                restored.entries.push(entry);
            }
            Body::Synced => {}
            Body::Identity(_) | Body::Snapshot(_) => {
                return Err(source.damaged(offset, "the record type does not belong in this file"));
            }
        }
    }
    check_gap(source, &restored)?;
    has_replaced |= restored.drop_replaced();
    Ok((restored, has_replaced))
}

/// Returns an error if entries are missing between the snapshot and the first entry of the log.
fn check_gap<C>(source: &Source<'_>, restored: &Restored<C>) -> Result<(), OpenError> {
    let covered = restored.snapshot.as_ref().map(|snapshot| snapshot.index).unwrap_or_default();
    match restored.entries.first() {
        Some(first) if first.index > covered.next() => {
            let reason = format!(
                "entry {} is missing; the log starts at entry {}",
                covered.next(),
                first.index
            );
            Err(source.damaged(0, reason))
        }
        _ => Ok(()),
    }
}

/// Reads the snapshot file, which is always replaced atomically.
fn read_snapshot<C: DeserializeOwned>(
    folder: &Path,
    cluster: &ClusterId,
    group: Group,
) -> Result<Option<Arc<Snapshot>>, OpenError> {
    match read_record::<C>(&folder.join(SNAPSHOT_FILE), cluster, group)? {
        Some(Body::Snapshot(snapshot)) => Ok(Some(snapshot)),
        _ => Ok(None),
    }
}

/// Reads the identity file.
fn read_identity(
    folder: &Path,
    cluster: &ClusterId,
    group: Group,
) -> Result<Option<Incarnation>, OpenError> {
    match read_record::<()>(&folder.join(IDENTITY_FILE), cluster, group)? {
        Some(Body::Identity(incarnation)) => Ok(Some(incarnation)),
        _ => Ok(None),
    }
}

/// Draws an identity for an empty folder and writes it to disk.
fn create_identity(
    files: &Files,
    folder: &Path,
    cluster: &ClusterId,
    group: Group,
    random: &mut fastrand::Rng,
) -> Result<Incarnation, OpenError> {
    let path = folder.join(IDENTITY_FILE);
    let incarnation = Incarnation::generate(random);
    let record: Record<()> = Record {
        cluster: cluster.clone(),
        group,
        term: Term::default(),
        synced: 0,
        body: Body::Identity(incarnation),
    };
    let mut content = Vec::new();
    record.encode(&mut content).map_err(|error| io_error(&path, io::Error::other(error)))?;
    files.replace(&path, &content).map_err(|error| io_error(&path, error))?;
    Ok(incarnation)
}

/// Reads a file that is always replaced as a whole and so contains exactly one record.
fn read_record<C: DeserializeOwned>(
    path: &Path,
    cluster: &ClusterId,
    group: Group,
) -> Result<Option<Body<C>>, OpenError> {
    let Some(file) = file::open(path).map_err(|error| io_error(path, error))? else {
        return Ok(None);
    };
    let bytes = file.metadata().map_err(|error| io_error(path, error))?.len();
    let source = Source { path, cluster, group };
    let mut records = source.read::<C>(file)?;
    if records.length != bytes || records.list.len() != 1 {
        return Err(
            source.damaged(records.length, "the file does not contain exactly one complete record")
        );
    }
    Ok(records.list.pop().map(|(_, record)| record.body))
}

fn open_log(files: &Files, folder: &Path, length: u64) -> io::Result<Handle> {
    let log = files.append(&folder.join(LOG_FILE), length)?;
    log.sync_all()?;
    files.sync_folder(folder)?;
    Ok(log)
}

fn lock(folder: &Path) -> Result<File, OpenError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(|error| io_error(&path, error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(OpenError::Locked { path: folder.into() }),
        Err(TryLockError::Error(error)) => Err(io_error(&path, error)),
    }
}

fn io_error(path: &Path, error: io::Error) -> OpenError {
    OpenError::Io { path: path.into(), error }
}

//! Storage thread, so that the node does not block on the disk.

use super::{Completion, Disk, Trust, Write};
use log::error;
use serde::Serialize;
use std::{
    io,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

/// Passes writes to a storage thread, which syncs all queued writes at once.
#[derive(Debug)]
pub struct Writer<C> {
    writes: Sender<Write<C>>,
}

impl<C: Serialize + Send + Sync + 'static> Writer<C> {
    /// Starts the storage thread. It calls `complete` after each batch, and ends after a failure or
    /// once `complete` returns `false`.
    ///
    /// # Panics
    ///
    /// Panics if the operating system cannot start a thread.
    pub fn start(disk: Disk, complete: impl Fn(Completion) -> bool + Send + 'static) -> Self {
        let (writes, queue) = channel();
        thread::Builder::new()
            .name("log-storage".to_owned())
            .spawn(move || run(disk, &queue, &complete))
            .expect("the system starts a thread");
        Self { writes }
    }

    /// Queues a write; it is dropped if an earlier one failed.
    pub fn write(&self, write: Write<C>) {
        if self.writes.send(write).is_err() {
            error!("control: dropped a write because the storage thread has ended");
        }
    }
}

/// Writes queued writes in batches, with one sync for each batch.
fn run<C: Serialize>(
    mut disk: Disk,
    queue: &Receiver<Write<C>>,
    complete: &impl Fn(Completion) -> bool,
) {
    while let Ok(first) = queue.recv() {
        let batch: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
        match write_batch(&mut disk, &batch) {
            Ok(through) => {
                if !complete(Completion::Persisted { through }) {
                    return;
                }
            }
            Err(error) => {
                let trust = Trust::after(&error, disk.has_failed_sync());
                error!("control: a write failed; this node leaves the control log: {error}");
                // Closed before the failure is known, so that the files can be opened again.
                drop(disk);
                complete(Completion::Failed(trust));
                return;
            }
        }
    }
}

fn write_batch<C: Serialize>(disk: &mut Disk, batch: &[Write<C>]) -> io::Result<u64> {
    for write in batch {
        disk.write(write)?;
    }
    disk.sync()?;
    Ok(batch.iter().map(|write| write.number).max().unwrap_or_default())
}

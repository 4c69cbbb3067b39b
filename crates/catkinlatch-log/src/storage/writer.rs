//! A thread that writes and syncs, so that its node never waits for the disk.

use super::{Disk, Write};
use crate::Input;
use log::error;
use serde::Serialize;
use std::{
    io,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

/// Hands writes to a thread of their own, with one sync for all that wait.
#[derive(Debug)]
pub struct Writer<C> {
    writes: Sender<Write<C>>,
}

impl<C: Serialize + Send + Sync + 'static> Writer<C> {
    /// Starts the thread; `complete` is told of synced or failed writes, and returns whether
    /// anyone still listens.
    ///
    /// # Panics
    ///
    /// Panics if the system starts no thread.
    pub fn start(disk: Disk, complete: impl Fn(Input<C>) -> bool + Send + 'static) -> Self {
        let (writes, queue) = channel();
        thread::Builder::new()
            .name("log-storage".to_owned())
            .spawn(move || run(disk, &queue, &complete))
            .expect("the system starts a thread");
        Self { writes }
    }

    /// Takes a write.
    pub fn write(&self, write: Write<C>) {
        if self.writes.send(write).is_err() {
            error!("control: the storage thread has ended");
        }
    }
}

/// Writes what comes in, with one sync for all that waits.
fn run<C: Serialize>(
    mut disk: Disk,
    queue: &Receiver<Write<C>>,
    complete: &impl Fn(Input<C>) -> bool,
) {
    while let Ok(first) = queue.recv() {
        let batch: Vec<_> = std::iter::once(first).chain(queue.try_iter()).collect();
        let completion = match write_batch(&mut disk, &batch) {
            Ok(through) => Input::Persisted { through },
            Err(error) => {
                error!("control: a write failed; this node leaves the control log: {error}");
                Input::StorageFailed
            }
        };
        if !complete(completion) {
            return;
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

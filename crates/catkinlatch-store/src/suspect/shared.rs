//! The list of suspects as the tasks of a host share it, and its publication to other hosts.

use super::{Table, Urgency};
use bytes::Bytes;
use catkinlatch_runtime::{Reply, message::ViewVersion};
use catkinlatch_wire::codec;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time,
};

/// How long changes are gathered before they are published.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Longest delay of the publication of changes by which no request is refused.
const LATER: Duration = Duration::from_secs(1);

/// Shortest time between two publications, each of which reaches all hosts.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// The list of suspects that the tasks of this host share.
#[derive(Debug)]
pub struct Shared {
    table: Mutex<Table>,
    revision: watch::Sender<u64>,
    /// Notified when the list has changed.
    changed: Notify,
    /// Notified when a change must be published at once.
    urgent: Notify,
    /// The last encoded answer.
    encoded: Mutex<Option<(ViewVersion, Bytes)>>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            revision: watch::channel(0).0,
            changed: Notify::new(),
            urgent: Notify::new(),
            encoded: Mutex::default(),
        }
    }
}

impl Shared {
    /// Locks the list; the guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Schedules the publication of changes.
    pub fn publish(&self, urgency: Urgency) {
        match urgency {
            Urgency::None => return,
            Urgency::Later => {}
            Urgency::Now => self.urgent.notify_one(),
        }
        self.changed.notify_one();
    }

    /// Publishes changes; never returns.
    pub async fn run_publisher(&self) {
        loop {
            self.changed.notified().await;
            let _ = time::timeout(LATER, self.urgent.notified()).await;
            time::sleep(GATHER_TIME).await;
            self.revision.send_modify(|revision| *revision += 1);
            time::sleep(MIN_INTERVAL).await;
        }
    }

    /// Returns a receiver of the revision that was published last.
    pub fn revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the encoded answer with the list, encoded once for all hosts that follow it.
    pub fn encoded(&self, version: ViewVersion) -> Bytes {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        match &*encoded {
            Some((held, bytes)) if *held == version => bytes.clone(),
            _ => {
                let suspects = Box::new(self.lock().suspects().clone());
                let bytes = codec::encode(&Reply::Suspects { version, suspects });
                *encoded = Some((version, bytes.clone()));
                bytes
            }
        }
    }
}

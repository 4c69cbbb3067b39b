//! Shares of the process-wide memory, released on drop.

use super::{Number, Table};
use bytes::Bytes;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

/// The memory of all responses in flight; clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    table: Table,
    /// Wakes the readers of responses that are ended.
    readers: BTreeMap<Number, Arc<Notify>>,
}

/// What one response holds of the memory of all, released on drop.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    number: Number,
    ended: Arc<Notify>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let table = Table::new(limit);
        Self(Arc::new(Mutex::new(State { table, readers: BTreeMap::new() })))
    }

    /// Adds a response that holds nothing yet.
    pub fn begin(&self) -> Share {
        let mut state = self.lock();
        let number = state.table.begin();
        let ended = Arc::new(Notify::new());
        state.readers.insert(number, ended.clone());
        Share { budget: self.clone(), number, ended }
    }

    /// Counts a complete response until its last reader has dropped it; returns `None` if all
    /// responses together take too much memory.
    pub fn keep(&self, bytes: impl Into<Bytes>) -> Option<Bytes> {
        let bytes = bytes.into();
        let share = self.begin();
        if !share.hold(bytes.len()) {
            return None;
        }
        share.complete();
        Some(Bytes::from_owner(Kept { bytes, _share: share }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A complete response, which holds its share until it is dropped.
struct Kept {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Share {
    /// Sets how many bytes the response holds; returns whether it may go on.
    pub fn hold(&self, bytes: usize) -> bool {
        let mut state = self.budget.lock();
        let ended = state.table.hold(self.number, bytes);
        for number in &ended {
            if let Some(reader) = state.readers.remove(number) {
                reader.notify_one();
            }
        }
        metrics::gauge!("catkinlatch_http_response_bytes").set(state.table.total() as f64);
        !ended.contains(&self.number)
    }

    /// Marks the response as complete, so that it is not ended any more.
    pub fn complete(&self) {
        self.budget.lock().table.complete(self.number);
    }

    /// Waits until the response is ended to make room for an older one.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.table.end(self.number);
        state.readers.remove(&self.number);
    }
}

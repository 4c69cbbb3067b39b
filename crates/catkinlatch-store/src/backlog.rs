//! The memory of batch jobs, which the leader bounds.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Memory of a host whose settings have none, in bytes.
const DEFAULT_MEMORY: u64 = 2 << 30;

/// Share of the host's memory for the items of all jobs that are kept, as a divisor.
const JOBS_DIVISOR: u64 = 4;

/// The bound on the items of all jobs that are kept.
#[derive(Debug)]
pub struct Backlog {
    limit: usize,
    /// Bytes of jobs that are accepted and not yet part of the state.
    submitting: Arc<AtomicUsize>,
}

/// A job that is being accepted.
#[derive(Debug)]
pub struct Submission {
    bytes: usize,
    submitting: Arc<AtomicUsize>,
}

impl Drop for Submission {
    fn drop(&mut self) {
        self.submitting.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Backlog {
    /// Derives the bound for a host with `memory_mb` megabytes, or with ample memory if `None`.
    pub fn new(memory_mb: Option<u64>) -> Self {
        let memory = memory_mb.map_or(DEFAULT_MEMORY, |mb| mb.saturating_mul(1_000_000));
        Self { limit: (memory / JOBS_DIVISOR) as usize, submitting: Arc::default() }
    }

    /// Admits a job of `bytes` beside jobs of `kept` bytes; returns `None` if they would take too much
    /// memory. A single job is admitted whatever its size is.
    pub fn admit(&self, kept: usize, bytes: usize) -> Option<Submission> {
        let others = kept + self.submitting.load(Ordering::Relaxed);
        if others > 0 && others + bytes > self.limit {
            return None;
        }
        self.submitting.fetch_add(bytes, Ordering::Relaxed);
        Some(Submission { bytes, submitting: self.submitting.clone() })
    }
}

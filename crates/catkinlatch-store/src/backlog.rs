//! The memory of batch jobs and of replies about them, which the leader bounds.

use catkinlatch_ledger::{Job, Record, job};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Memory of a host whose settings have none, in bytes.
const DEFAULT_MEMORY: u64 = 2 << 30;

/// Share of the host's memory for all jobs, with their copies.
const JOBS_SHARE: f64 = 0.8;

/// Share of the host's memory for replies that are being sent.
const REPLIES_SHARE: f64 = 0.1;

/// How often a byte of a job is held: in the state, in the snapshot, and partly in log entries.
const KEPT_COPIES: f64 = 2.25;

/// How often a byte of a job is held while it is accepted: as it was received, as an entry, and
/// encoded for the disk and for two followers.
const SUBMISSION_COPIES: f64 = 5.0;

/// How often a byte of a reply is held: in the reply, and encoded.
const REPLY_COPIES: f64 = 2.0;

/// What the jobs that are kept take, and what their results show of those to come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Kept {
    /// Bytes of the items, results and progress, and those expected of the items without a result.
    pub bytes: usize,
    /// Bytes of all texts, and the tokens that were expected of them.
    texts: (usize, u64),
}

impl Kept {
    /// Adds up the records of all jobs.
    pub fn new<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        let (mut kept, mut open_tokens) = (Self::default(), 0);
        for record in records {
            kept.bytes += record.bytes();
            for outcome in &record.results {
                let tokens = record.job.items[outcome.item as usize].expected_tokens;
                // A text of which nothing was expected says nothing about others.
                if let job::End::Completed { text, .. } = &outcome.end
                    && tokens > 0
                {
                    kept.texts.0 += text.len();
                    kept.texts.1 += tokens;
                }
            }
            let open = record.open_items().map(|item| record.job.items[item].expected_tokens);
            open_tokens += open.sum::<u64>();
        }
        kept.bytes += kept.expected_text(open_tokens);
        kept
    }

    /// Returns how many bytes a job takes, with the texts that are expected of its items.
    pub fn expected_bytes(&self, job: &Job) -> usize {
        let tokens = job.items.iter().map(|item| item.expected_tokens).sum();
        job.bytes() + self.expected_text(tokens)
    }

    fn expected_text(&self, tokens: u64) -> usize {
        let (bytes, known_tokens) = self.texts;
        (bytes as f64 * tokens as f64 / known_tokens.max(1) as f64) as usize
    }
}

/// A bound on the memory that several uses take together.
#[derive(Debug)]
pub struct Budget {
    limit: f64,
    copies: f64,
    /// Bytes in use, without the copies.
    used: Arc<AtomicUsize>,
}

/// A use of memory; it ends when it is dropped.
#[derive(Debug)]
pub struct Use {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for Use {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Budget {
    /// Creates the bound on the jobs of a host with `memory_mb` megabytes, or with ample memory if
    /// `None`.
    pub fn for_jobs(memory_mb: Option<u64>) -> Self {
        Self::new(memory_mb, JOBS_SHARE, SUBMISSION_COPIES)
    }

    /// Creates the bound on the replies that such a host sends.
    pub fn for_replies(memory_mb: Option<u64>) -> Self {
        Self::new(memory_mb, REPLIES_SHARE, REPLY_COPIES)
    }

    fn new(memory_mb: Option<u64>, share: f64, copies: f64) -> Self {
        let memory = memory_mb.map_or(DEFAULT_MEMORY, |mb| mb.saturating_mul(1_000_000));
        Self { limit: memory as f64 * share, copies, used: Arc::default() }
    }

    /// Admits a use of `bytes` beside the others and beside `kept` bytes of jobs; returns `None` if
    /// they would take too much memory. A single use is admitted whatever its size is.
    pub fn admit(&self, kept: usize, bytes: usize) -> Option<Use> {
        let used = self.used.load(Ordering::Relaxed);
        let total = kept as f64 * KEPT_COPIES + (used + bytes) as f64 * self.copies;
        if kept + used > 0 && total > self.limit {
            return None;
        }
        self.used.fetch_add(bytes, Ordering::Relaxed);
        Some(Use { bytes, used: self.used.clone() })
    }
}

//! Observers of entry hosts and store hosts.

use super::{document, record::Record, setup::Addresses, stall::Stalls};
use http::{Method, StatusCode};
use serde_json::Value;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::time;

/// Pause between two requests to the same host.
const PAUSE: Duration = Duration::from_millis(25);

/// Time that an observer's request is given.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// What all tasks of a run share.
pub struct Run {
    pub addresses: Addresses,
    pub record: Record,
    pub stalls: Stalls,
    pub is_over: AtomicBool,
    /// The highest version that an operator has sent.
    pub proposed: AtomicU64,
    /// The highest version of an invalid configuration that was sent.
    pub invalid: AtomicU64,
    /// How often each entry host was started.
    pub starts: Vec<AtomicU64>,
}

impl Run {
    pub fn new(addresses: Addresses) -> Self {
        let starts = addresses.entries.iter().map(|_| AtomicU64::new(1)).collect();
        let (proposed, invalid) = (AtomicU64::new(1), AtomicU64::new(0));
        let (record, stalls, is_over) = Default::default();
        Self { addresses, record, stalls, is_over, proposed, invalid, starts }
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

/// Sends requests to an entry host that tell which versions it obeys.
pub async fn watch_entry(run: Arc<Run>, entry: usize) {
    for number in 0_u64.. {
        if run.is_over() {
            return;
        }
        let newest = run.record.newest();
        let version = match number % 3 {
            0 => run.proposed.load(Ordering::Relaxed),
            _ => newest.unwrap_or(1),
        };
        let (start, sent) = (run.starts[entry].load(Ordering::Relaxed), Instant::now());
        let id = format!("watch-{entry}-{number}");
        let path = document::path(version);
        let answer = run.addresses.send(entry, &path, &id, "", DEADLINE).await;
        let is_same_start = run.starts[entry].load(Ordering::Relaxed) == start;
        if let Some(answer) = answer.filter(|_| is_same_start) {
            run.record.count("watched");
            match answer.status() {
                StatusCode::NOT_FOUND => run.record.observe(entry, start, version, sent, false),
                StatusCode::UNAUTHORIZED => {
                    run.record.violation(format!("entry {entry} answered 401 to {path}"));
                }
                StatusCode::OK => run.record.observe(entry, start, version, sent, true),
                _ => run.record.count("watched without success"),
            }
        }
        let invalid = run.invalid.load(Ordering::Relaxed);
        if number % 10 == 0 && invalid > 0 {
            let path = document::invalid_path(invalid);
            let answer = run.addresses.send(entry, &path, &format!("{id}-i"), "", DEADLINE).await;
            if answer.is_some_and(|answer| answer.status() == StatusCode::OK) {
                run.record.violation(format!("entry {entry} obeys the invalid version {invalid}"));
            }
        }
        time::sleep(PAUSE).await;
    }
}

/// Reads the configuration at a store host.
pub async fn watch_store(run: Arc<Run>, store: usize) {
    while !run.is_over() {
        let sent = Instant::now();
        let answer = run.addresses.control(store, Method::GET, "").await;
        if let Some(answer) = answer.filter(|answer| answer.status().is_success()) {
            let text = answer.body();
            let document: Value = serde_json::from_slice(text).unwrap_or_default();
            match document["version"].as_u64() {
                Some(version) => run.record.observe_read(store, version, text, sent),
                None => run.record.violation(format!("store {store} returned a truncated text")),
            }
            if text.windows(16).any(|part| part == b"operator-invalid") {
                run.record.violation(format!("store {store} returned an invalid configuration"));
            }
        }
        time::sleep(PAUSE).await;
    }
}

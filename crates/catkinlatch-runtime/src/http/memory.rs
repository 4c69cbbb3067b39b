//! The process-wide limit on the memory of responses in flight.

mod share;

pub use self::share::{Budget, Share};

use std::collections::BTreeMap;

/// Memory that a response may hold without being ended to make room, in bytes, so that responses
/// of usual size pass beside those that take everything else.
const FREE_BYTES: usize = 64 << 10;

/// Number of an exchange; later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(u64);

/// What one response holds.
#[derive(Debug)]
struct Holding {
    bytes: usize,
    /// Whether the response is complete and waits for its reader.
    is_complete: bool,
}

/// Decides which responses are ended so that all together stay within the limit.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    total: usize,
    next: u64,
    holdings: BTreeMap<Number, Holding>,
}

impl Table {
    /// Creates a table without responses; `limit` is in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, total: 0, next: 0, holdings: BTreeMap::new() }
    }

    /// Adds a response that holds nothing yet.
    pub fn begin(&mut self) -> Number {
        let number = Number(self.next);
        self.next += 1;
        self.holdings.insert(number, Holding { bytes: 0, is_complete: false });
        number
    }

    /// Sets how many bytes a response holds; returns the responses that are ended to make room.
    ///
    /// The newest incomplete responses are ended first, which may include this one. A response that
    /// was ended before is returned again.
    pub fn hold(&mut self, number: Number, bytes: usize) -> Vec<Number> {
        let Some(holding) = self.holdings.get_mut(&number) else { return vec![number] };
        self.total = self.total - holding.bytes + bytes;
        holding.bytes = bytes;
        let mut ended = Vec::new();
        while self.total > self.limit {
            let mut newest = self.holdings.iter().rev();
            let newest = newest.find(|(_, held)| !held.is_complete && held.bytes > FREE_BYTES);
            let Some(newest) = newest.map(|(number, _)| *number) else { break };
            self.end(newest);
            ended.push(newest);
        }
        ended
    }

    /// Marks a response as complete: it holds its memory until it is removed.
    pub fn complete(&mut self, number: Number) {
        if let Some(holding) = self.holdings.get_mut(&number) {
            holding.is_complete = true;
        }
    }

    /// Removes a response; does nothing if it was ended.
    pub fn end(&mut self, number: Number) {
        if let Some(holding) = self.holdings.remove(&number) {
            self.total -= holding.bytes;
        }
    }

    /// Returns how many bytes all responses hold.
    pub fn total(&self) -> usize {
        self.total
    }
}

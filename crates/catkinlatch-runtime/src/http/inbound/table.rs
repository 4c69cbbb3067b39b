//! Decides which clients are ended so that all together stay within the limits.

use super::{Limits, SWEEP_INTERVAL};
use slotmap::{SlotMap, new_key_type};
use std::{cmp::Reverse, time::Duration};

/// Size up to which a request is never ended to make room, in bytes.
const FREE_BYTES: usize = 8 << 10;

/// Size up to which a request is ended to make room only if no larger one is left, in bytes, so that
/// small requests pass beside those that take everything else.
const SMALL_BYTES: usize = 64 << 10;

/// Memory of the buffer of a head, in bytes for each byte of the head: the buffer doubles as it grows.
const HEAD_BUFFER_FACTOR: usize = 2;

/// Bytes between two sweeps below which a client that sends a request makes no progress.
const PROGRESS_BYTES: usize = 32 << 10;

/// Number of sweeps without progress after which a client is slow.
const SLOW_SWEEPS: u32 = 2;

/// Time after which a connection is closed whose refused request still arrives; its reader gives up
/// before that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest receive buffer of a connection, in bytes.
pub(super) const MAX_RECEIVE_BUFFER: usize = 64 << 10;

/// Smallest receive buffer of a connection, in bytes.
const MIN_RECEIVE_BUFFER: usize = 4 << 10;

new_key_type! {
    /// Identifies a connection, or the whole body of a request.
    pub struct Key;
}

/// What a connection does, or that a holder is the whole body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte has arrived since the connection was opened.
    Silent,
    /// The last request has been answered.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// The rest of a request that was refused arrives.
    Discard,
    /// A request runs, or its response is sent.
    Busy,
    /// A whole body, which is in memory until its request has ended.
    Whole,
}

/// What a client holds.
#[derive(Debug)]
struct Holder {
    /// Later requests and connections have higher numbers.
    number: u64,
    phase: Phase,
    /// Number of sweeps since the phase began.
    age: u32,
    head_bytes: usize,
    body_bytes: usize,
    /// Number of bytes that have arrived since the last sweep.
    progress: usize,
    /// Number of sweeps since the client last made progress.
    slow_sweeps: u32,
    /// Whether the request was refused, and its reader does not know yet.
    is_refused: bool,
    /// Whether the connection is being closed.
    is_closed: bool,
}

impl Holder {
    /// Returns the size of what has arrived of the request.
    fn size(&self) -> usize {
        self.head_bytes + self.body_bytes
    }

    /// Returns the memory that the request takes.
    fn memory(&self) -> usize {
        self.head_bytes * HEAD_BUFFER_FACTOR + self.body_bytes
    }

    fn is_slow(&self) -> bool {
        self.slow_sweeps >= SLOW_SWEEPS
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        (self.age, self.progress, self.slow_sweeps) = (0, 0, 0);
    }
}

/// How a client is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Its connection is closed.
    Close,
    /// Its request, whose body has not arrived whole, is refused.
    Refuse,
}

/// A client that is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The client's connection.
    pub key: Key,
    /// How it is ended.
    pub how: How,
    /// The name of the limit that all clients together, or this one, have reached.
    pub limit: &'static str,
}

/// Decides which clients are ended so that all together stay within the limits.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    total_bytes: usize,
    /// Number of connections that are not being closed.
    connections: usize,
    next: u64,
    holders: SlotMap<Key, Holder>,
}

impl Table {
    /// Creates a table without clients.
    pub fn new(limits: Limits) -> Self {
        Self { limits, total_bytes: 0, connections: 0, next: 0, holders: SlotMap::with_key() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the limits, which may be changed at any time.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Returns how many bytes the requests of all clients hold.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Adds a connection; returns it, and the connection that is closed in its place if there are too
    /// many.
    ///
    /// Closed first are connections on which nothing has ever arrived, then slow requests, then idle
    /// connections, each the oldest first. If all others are busy, the new one is closed.
    pub fn open(&mut self) -> (Key, Option<Ended>) {
        let opened = self.add(Phase::Silent, 0);
        self.connections += 1;
        if self.connections <= self.limits.connections {
            return (opened, None);
        }
        let rank = |holder: &Holder| match holder.phase {
            Phase::Silent => Some(0),
            Phase::Discard => Some(1),
            Phase::Head | Phase::Body if holder.is_slow() => Some(1),
            Phase::Idle => Some(2),
            Phase::Head => Some(3),
            Phase::Body | Phase::Busy | Phase::Whole => None,
        };
        let others = self.holders.iter().filter(|(key, other)| *key != opened && !other.is_closed);
        let ranked = others.filter_map(|(key, other)| {
            let rank = rank(other)?;
            Some(((rank, Reverse(other.age), other.number), key))
        });
        let key = ranked.min().map_or(opened, |(_, key)| key);
        (opened, self.end(key, How::Close, "connections"))
    }

    /// Returns the size of the receive buffer for a connection that was just added; `None` if it may
    /// be that of the listener.
    pub fn receive_buffer(&self) -> Option<usize> {
        let bytes = self.limits.unread_bytes / self.connections.max(1);
        (bytes < MAX_RECEIVE_BUFFER).then(|| bytes.max(MIN_RECEIVE_BUFFER))
    }

    /// Records that bytes of a head have arrived; returns the clients that are ended to make room.
    pub fn receive_head(&mut self, key: Key, bytes: usize) -> Vec<Ended> {
        let Some(holder) = self.holders.get_mut(key) else { return Vec::new() };
        match holder.phase {
            Phase::Silent | Phase::Idle => {
                holder.enter(Phase::Head);
                holder.number = self.next;
                self.next += 1;
            }
            Phase::Head => {}
            // The start of a next request, which is read ahead.
            Phase::Body | Phase::Discard | Phase::Busy | Phase::Whole => return Vec::new(),
        }
        holder.head_bytes += bytes;
        holder.progress += bytes;
        self.total_bytes += bytes * HEAD_BUFFER_FACTOR;
        self.make_room()
    }

    /// Records that the head of a request has arrived whole; its memory counts until the request ends.
    pub fn begin(&mut self, key: Key) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.enter(Phase::Busy);
        }
    }

    /// Records how much of a body has arrived; returns the clients that are ended to make room, which
    /// may include this one.
    pub fn receive_body(&mut self, key: Key, bytes: usize) -> Vec<Ended> {
        let Some(holder) = self.holders.get_mut(key).filter(|holder| !holder.is_refused) else {
            return vec![Ended { key, how: How::Refuse, limit: "memory" }];
        };
        if holder.phase != Phase::Body {
            holder.enter(Phase::Body);
        }
        holder.progress += bytes.saturating_sub(holder.body_bytes);
        self.total_bytes = self.total_bytes - holder.body_bytes + bytes;
        holder.body_bytes = bytes;
        self.make_room()
    }

    /// Records that a body is whole; returns the holder of its memory, which is not ended.
    pub fn complete(&mut self, key: Key) -> Key {
        let bytes = self.holders.get_mut(key).map_or(0, |holder| {
            holder.enter(Phase::Busy);
            std::mem::take(&mut holder.body_bytes)
        });
        self.add(Phase::Whole, bytes)
    }

    /// Adds memory that whole requests need while they are decoded; returns its holder, or `None` if
    /// there is none left, and the clients that are ended to make room.
    ///
    /// A single large request always gets it, and so do small ones.
    pub fn claim(&mut self, bytes: usize) -> (Option<Key>, Vec<Ended>) {
        let key = self.add(Phase::Whole, bytes);
        self.total_bytes += bytes;
        let ended = self.make_room();
        let is_whole =
            |holder: &&Holder| holder.phase == Phase::Whole && holder.size() > FREE_BYTES;
        // The claim, and the body that it is for.
        let is_single = self.holders.values().filter(is_whole).count() <= 2;
        if self.total_bytes <= self.limits.bytes || is_single || bytes <= SMALL_BYTES {
            return (Some(key), ended);
        }
        self.remove(key);
        (None, ended)
    }

    /// Records that a request was refused before its body was whole, the rest of which is discarded.
    pub fn discard(&mut self, key: Key) {
        self.release(key);
        if let Some(holder) = self.holders.get_mut(key) {
            holder.enter(Phase::Discard);
            holder.is_refused = false;
        }
    }

    /// Records that the rest of a refused request has arrived.
    pub fn record_discarded(&mut self, key: Key) {
        if let Some(holder) = self.holders.get_mut(key).filter(|h| h.phase == Phase::Discard) {
            holder.enter(Phase::Idle);
        }
    }

    /// Records that the response to a request has been handed over.
    pub fn finish(&mut self, key: Key) {
        if self.holders.get(key).is_some_and(|holder| holder.phase != Phase::Discard) {
            self.release(key);
            if let Some(holder) = self.holders.get_mut(key) {
                holder.enter(Phase::Idle);
            }
        }
    }

    /// Records that a client has taken bytes of a response.
    pub fn record_written(&mut self, key: Key) {
        if let Some(holder) = self.holders.get_mut(key).filter(|h| h.phase == Phase::Idle) {
            holder.age = 0;
        }
    }

    /// Removes a connection or a whole body.
    pub fn remove(&mut self, key: Key) {
        self.release(key);
        if let Some(holder) = self.holders.remove(key) {
            self.connections -= usize::from(!holder.is_closed && holder.phase != Phase::Whole);
        }
    }

    /// Records that the sweep interval has passed; returns the clients whose time is over.
    ///
    /// The time of clients is counted in sweeps: a process that stood still has not read what they
    /// sent meanwhile.
    pub fn sweep(&mut self) -> Vec<Ended> {
        let mut over = Vec::new();
        for (key, holder) in &mut self.holders {
            holder.age = holder.age.saturating_add(1);
            let is_slow = holder.progress < PROGRESS_BYTES;
            holder.slow_sweeps = if is_slow { holder.slow_sweeps.saturating_add(1) } else { 0 };
            holder.progress = 0;
            let (limit, name) = match holder.phase {
                Phase::Silent | Phase::Idle => (self.limits.idle_time, "idle"),
                Phase::Head => (self.limits.head_time, "head"),
                Phase::Discard => (DISCARD_TIMEOUT, "discard"),
                Phase::Body | Phase::Busy | Phase::Whole => continue,
            };
            if SWEEP_INTERVAL * holder.age > limit + SWEEP_INTERVAL {
                over.push((key, name));
            }
        }
        let ended = over.into_iter().map(|(key, name)| self.end(key, How::Close, name));
        ended.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    fn add(&mut self, phase: Phase, body_bytes: usize) -> Key {
        let number = self.next;
        self.next += 1;
        self.holders.insert(Holder {
            number,
            phase,
            age: 0,
            head_bytes: 0,
            body_bytes,
            progress: 0,
            slow_sweeps: 0,
            is_refused: false,
            is_closed: false,
        })
    }

    /// Ends clients until the memory of all is within its limit.
    ///
    /// Slow requests are ended first, of these the one that holds most; then the newest large one, so
    /// that what was started earlier continues; then the newest small one. The last large request is not ended: a single one that is
    /// within the configured limits is served whatever the memory of the host is.
    fn make_room(&mut self) -> Vec<Ended> {
        let mut ended = Vec::new();
        while self.total_bytes > self.limits.bytes {
            let large = self.holders.iter().filter(|(_, holder)| holder.size() > FREE_BYTES);
            if large.clone().count() <= 1 {
                break;
            }
            let incomplete = large.filter(|(_, holder)| {
                let is_ended = holder.is_refused || holder.is_closed;
                matches!(holder.phase, Phase::Head | Phase::Body) && !is_ended
            });
            let next = incomplete.max_by_key(|(_, holder)| match holder.size() {
                size if holder.is_slow() => (2, size as u64),
                size => (u64::from(size > SMALL_BYTES), holder.number),
            });
            let Some((key, holder)) = next else { break };
            let how = if holder.phase == Phase::Head { How::Close } else { How::Refuse };
            ended.extend(self.end(key, how, "memory"));
            self.release(key);
        }
        ended
    }

    fn end(&mut self, key: Key, how: How, limit: &'static str) -> Option<Ended> {
        let holder = self.holders.get_mut(key).filter(|holder| !holder.is_closed)?;
        match how {
            How::Refuse => holder.is_refused = true,
            How::Close => {
                holder.is_closed = true;
                self.connections -= 1;
            }
        }
        Some(Ended { key, how, limit })
    }

    /// Releases the memory that a client holds.
    fn release(&mut self, key: Key) {
        if let Some(holder) = self.holders.get_mut(key) {
            self.total_bytes -= holder.memory();
            (holder.head_bytes, holder.body_bytes) = (0, 0);
        }
    }
}

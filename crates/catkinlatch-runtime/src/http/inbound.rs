//! What the clients of a process hold: connections, the memory of their requests, and time.
//!
//! All listeners of a process share one [`Inbound`], which closes connections and refuses requests
//! so that clients stay within its limits.

mod connection;
mod limits;
mod stream;
mod table;

pub use self::{
    connection::{Claim, Reader},
    limits::Limits,
    table::{Ended, How, Key, Table},
};
pub(super) use self::{
    connection::{Connection, Tracked},
    stream::Counted,
};

use self::{connection::Signals, table::MAX_RECEIVE_BUFFER};
use catkinlatch_ledger::config;
use log::debug;
use slotmap::SecondaryMap;
use socket2::SockRef;
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Interval at which idle and slow clients are looked for.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The clients of all listeners of a process; clones share them.
#[derive(Clone, Debug)]
pub struct Inbound(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    is_swept: AtomicBool,
}

#[derive(Debug)]
struct State {
    table: Table,
    signals: SecondaryMap<Key, Arc<Signals>>,
}

impl Default for Inbound {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Inbound {
    /// Creates the owner of what clients hold, with no client.
    pub fn new(limits: Limits) -> Self {
        let state = State { table: Table::new(limits), signals: SecondaryMap::new() };
        Self(Arc::new(Shared { state: Mutex::new(state), is_swept: AtomicBool::new(false) }))
    }

    /// Adopts the limits that the configuration sets for clients; those on heads apply to later
    /// connections.
    pub fn configure(&self, limits: &config::Limits) {
        self.lock().table.limits_mut().configure(limits);
    }

    /// Returns the most sessions of other processes that have not proved who they are.
    pub fn sessions(&self) -> usize {
        self.lock().table.limits().sessions
    }

    /// Returns the size of the buffer for a request's head, in bytes.
    pub(super) fn head_bytes(&self) -> usize {
        self.lock().table.limits().head_bytes
    }

    /// Adds a connection; closes another one if there are too many.
    pub(super) fn open(&self, socket: &TcpStream) -> Connection {
        let mut state = self.lock();
        let (key, ended) = state.table.open();
        let signals = Arc::new(Signals::default());
        state.signals.insert(key, signals.clone());
        state.end(ended.into_iter());
        let receive_buffer = state.table.receive_buffer();
        drop(state);
        if let Some(bytes) = receive_buffer {
            // Without it, the system's own bounds hold.
            let _ = SockRef::from(socket).set_recv_buffer_size(bytes);
        }
        Connection { inbound: self.clone(), key, signals }
    }

    /// Bounds what is received on a listener's connections before it is read, and starts to look for
    /// idle and slow clients.
    pub(super) fn prepare(&self, listener: &TcpListener) {
        // Without it, the system's own bounds hold.
        let _ = SockRef::from(listener).set_recv_buffer_size(MAX_RECEIVE_BUFFER);
        if self.0.is_swept.swap(true, Ordering::Relaxed) {
            return;
        }
        let shared = Arc::downgrade(&self.0);
        tokio::spawn(async move {
            while let Some(shared) = Weak::upgrade(&shared) {
                Self(shared).sweep();
                time::sleep(SWEEP_INTERVAL).await;
            }
        });
    }

    fn sweep(&self) {
        let mut state = self.lock();
        let State { table, signals } = &mut *state;
        for (key, signals) in signals.iter() {
            if signals.take_written() {
                table.record_written(key);
            }
        }
        let ended = state.table.sweep();
        state.end(ended.into_iter());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells the owners of what was ended.
    fn end(&self, ended: impl Iterator<Item = Ended>) {
        for Ended { key, how, limit } in ended {
            metrics::counter!("catkinlatch_http_clients_ended", "limit" => limit).increment(1);
            debug!(limit = limit; "http: ended a client beyond a limit");
            match (how, self.signals.get(key)) {
                (How::Close, Some(signals)) => signals.close(),
                (How::Refuse, Some(signals)) => signals.refuse(),
                (How::Close | How::Refuse, None) => {}
            }
        }
    }
}

//! The listener for sessions, and its limits on processes that have not proved who they are.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{net::TcpListener, task::AbortHandle};

/// Time within which the other process must have proved that it belongs to the cluster.
pub(crate) const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of sessions that are not authenticated, if none is given.
const DEFAULT_UNAUTHENTICATED: usize = 1_024;

/// Accepts connections for sessions.
#[derive(Debug)]
pub struct Listener {
    pub(crate) socket: TcpListener,
    /// The most sessions that are not authenticated; beyond it, the oldest is closed.
    max_unauthenticated: usize,
}

impl From<TcpListener> for Listener {
    fn from(socket: TcpListener) -> Self {
        Self { socket, max_unauthenticated: DEFAULT_UNAUTHENTICATED }
    }
}

impl Listener {
    /// Sets the most sessions that are not authenticated.
    pub fn with_unauthenticated(self, max_unauthenticated: usize) -> Self {
        Self { max_unauthenticated, ..self }
    }

    pub(crate) fn unauthenticated(&self) -> Unauthenticated {
        Unauthenticated { most: self.max_unauthenticated.max(1), sessions: Mutex::default() }
    }
}

/// The sessions that are not authenticated, by the order in which they were accepted.
#[derive(Debug)]
pub(crate) struct Unauthenticated {
    most: usize,
    sessions: Mutex<BTreeMap<u64, AbortHandle>>,
}

impl Unauthenticated {
    /// Adds a session; ends the oldest if there are too many.
    pub(crate) fn insert(&self, number: u64, session: AbortHandle) {
        let mut sessions = self.lock();
        sessions.retain(|_, session| !session.is_finished());
        sessions.insert(number, session);
        if sessions.len() > self.most
            && let Some((_, oldest)) = sessions.pop_first()
        {
            oldest.abort();
        }
    }

    /// Removes a session that is authenticated or has ended.
    pub(crate) fn remove(&self, number: u64) {
        self.lock().remove(&number);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, AbortHandle>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Finds the leader and sends it messages.

mod search;

use crate::{CallError, Message, Peers, Reply};
use catkinlatch_base::HostId;
use log::info;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::{self, Instant};

/// Timeout for the answer of one host, in addition to the time that the message lets it wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before the next attempt after a host that is not the leader named no other one.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Outcome of a message to the leader.
#[derive(Debug)]
pub enum Answer {
    /// The leader answered.
    Reply(Reply),
    /// No leader accepted the message; nothing was done.
    NotDone,
    /// A leader may have handled the message; its answer was lost or the outcome is unknown.
    Unknown,
}

/// Finds the leader, sends it messages, and retries at other hosts if it has changed.
#[derive(Debug)]
pub struct LeaderClient {
    peers: Arc<Peers>,
    known: Mutex<KnownHosts>,
}

/// The hosts that may lead, and the leader if it is known.
#[derive(Debug, Default)]
struct KnownHosts {
    seeds: Vec<HostId>,
    /// The seeds and all other hosts that may lead.
    hosts: Vec<HostId>,
    leader: Option<HostId>,
    /// Position in `hosts` of the last host that was tried without a known leader.
    next: usize,
}

impl KnownHosts {
    fn add_seeds(&mut self) {
        let missing = self.seeds.iter().filter(|seed| !self.hosts.contains(seed));
        let missing: Vec<HostId> = missing.cloned().collect();
        self.hosts.extend(missing);
    }
}

impl LeaderClient {
    /// Creates a client with the seed hosts and no presumed leader.
    pub fn new(peers: Arc<Peers>, seeds: Vec<HostId>) -> Self {
        let known = KnownHosts { hosts: seeds.clone(), seeds, leader: None, next: 0 };
        Self { peers, known: Mutex::new(known) }
    }

    /// Replaces the hosts that may lead; the seed hosts are always kept.
    pub fn set_hosts(&self, hosts: &[HostId]) {
        let mut known = self.lock();
        known.hosts = hosts.to_vec();
        known.add_seeds();
    }

    /// Replaces the seed hosts; hosts that may lead are kept.
    pub fn set_seeds(&self, seeds: Vec<HostId>) {
        let mut known = self.lock();
        known.seeds = seeds;
        known.add_seeds();
    }

    /// Sets the presumed leader; with `None`, all hosts are tried in turn.
    pub fn set_leader(&self, leader: Option<&HostId>) {
        self.lock().leader = leader.cloned();
    }

    /// Returns the presumed leader, if any.
    pub fn leader(&self) -> Option<HostId> {
        self.lock().leader.clone()
    }

    /// Sends a message to the leader and retries until a leader answers or `limit` is over.
    ///
    /// `wait` is the time that the message lets the leader wait before it answers. The message is
    /// sent again if an answer is lost, so it must be idempotent.
    pub async fn call(&self, message: &Message, wait: Duration, limit: Duration) -> Answer {
        let deadline = Instant::now() + limit;
        let mut may_be_done = false;
        while Instant::now() < deadline {
            let host = self.next_host();
            let remaining = deadline - Instant::now();
            let timeout = (wait + ANSWER_TIMEOUT).min(remaining);
            match self.peers.call::<Reply>(&host, message, timeout).await {
                Ok(Reply::NotLeader(leader)) => {
                    let is_new = leader.as_ref().is_some_and(|leader| *leader != host);
                    self.record_not_leader(&host, leader);
                    if !is_new {
                        time::sleep(RETRY_DELAY).await;
                    }
                }
                Ok(Reply::Unknown) => return Answer::Unknown,
                // The leader has no memory for the job; an earlier one may have accepted it.
                Ok(Reply::Nothing) if matches!(message, Message::Submit(_)) => {
                    self.record_leader(host);
                    return if may_be_done { Answer::Unknown } else { Answer::NotDone };
                }
                Ok(reply) => {
                    self.record_leader(host);
                    return Answer::Reply(reply);
                }
                Err(CallError::NotSent { .. }) => self.record_not_leader(&host, None),
                Err(CallError::Unknown { reason, .. }) => {
                    may_be_done = true;
                    info!(host:% = host, reason:% = reason; "peer: a host did not answer");
                    self.record_not_leader(&host, None);
                }
            }
        }
        if may_be_done { Answer::Unknown } else { Answer::NotDone }
    }

    /// Returns the presumed leader, or else the next known host in turn.
    fn next_host(&self) -> HostId {
        let mut known = self.lock();
        if let Some(leader) = &known.leader {
            return leader.clone();
        }
        known.next = (known.next + 1) % known.hosts.len().max(1);
        known.hosts.get(known.next).cloned().unwrap_or_else(|| self.peers.local().host.clone())
    }

    fn record_leader(&self, host: HostId) {
        let mut known = self.lock();
        if known.leader.as_ref() != Some(&host) {
            info!(host:% = host; "peer: found the leader");
            known.leader = Some(host);
        }
    }

    /// Replaces the presumed leader by `leader` because `host` does not lead or did not answer.
    ///
    /// Does nothing if another host has become the presumed leader meanwhile.
    fn record_not_leader(&self, host: &HostId, leader: Option<HostId>) {
        let mut known = self.lock();
        let is_current = known.leader.is_none() || known.leader.as_ref() == Some(host);
        if is_current {
            known.leader = leader.filter(|leader| leader != host);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, KnownHosts> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Finds the leader and asks it.

use crate::{CallError, Message, Peers, Reply};
use catkinlatch_base::HostId;
use log::info;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::{self, Instant};

/// How long one host may take to answer, beside what the message asks it to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// How long to rest before the next host is asked, while none leads.
const ROUND_PAUSE: Duration = Duration::from_millis(40);

/// What became of a message.
#[derive(Debug)]
pub enum Answer {
    /// The leader answered.
    Reply(Reply),
    /// No leader took the message, so that nothing was done.
    NotDone,
    /// A leader may have carried it out.
    Unknown,
}

/// Finds the leader and asks it.
#[derive(Debug)]
pub struct Guide {
    peers: Arc<Peers>,
    seeds: Vec<HostId>,
    known: Mutex<Known>,
}

/// What is known of the hosts that may lead.
#[derive(Debug, Default)]
struct Known {
    hosts: Vec<HostId>,
    leader: Option<HostId>,
    next: usize,
}

impl Guide {
    /// Creates a guide that knows the seeds.
    pub fn new(peers: Arc<Peers>, seeds: Vec<HostId>) -> Self {
        let known = Known { hosts: seeds.clone(), leader: None, next: 0 };
        Self { peers, seeds, known: Mutex::new(known) }
    }

    /// Learns which hosts may lead.
    pub fn learn(&self, hosts: &[HostId]) {
        let mut all = hosts.to_vec();
        all.extend(self.seeds.iter().filter(|seed| !hosts.contains(seed)).cloned());
        self.lock().hosts = all;
    }

    /// Takes a hint about the leader.
    pub fn hint(&self, leader: Option<&HostId>) {
        self.lock().leader = leader.cloned();
    }

    /// Returns the leader, as last heard.
    pub fn leader(&self) -> Option<HostId> {
        self.lock().leader.clone()
    }

    /// Asks the leader until one answers or the time is up.
    ///
    /// The message is sent again after a lost answer, so it must be one that may be repeated.
    pub async fn ask(&self, message: &Message, wait: Duration, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        let mut may_be_done = false;
        while Instant::now() < until {
            let host = self.pick();
            let left = until - Instant::now();
            let timeout = (wait + ANSWER_TIMEOUT).min(left);
            match self.peers.call::<Reply>(&host, message, timeout).await {
                Ok(Reply::NotLeader(leader)) => {
                    let is_new = leader.as_ref().is_some_and(|leader| *leader != host);
                    self.lost(&host, leader);
                    if !is_new {
                        time::sleep(ROUND_PAUSE).await;
                    }
                }
                Ok(Reply::Unknown) => return Answer::Unknown,
                Ok(reply) => {
                    self.found(host);
                    return Answer::Reply(reply);
                }
                Err(CallError::NotSent { .. }) => self.lost(&host, None),
                Err(CallError::Unknown { reason, .. }) => {
                    may_be_done = true;
                    info!(host:% = host, reason:% = reason; "peer: a host did not answer");
                    self.lost(&host, None);
                }
            }
        }
        if may_be_done { Answer::Unknown } else { Answer::NotDone }
    }

    fn pick(&self) -> HostId {
        let mut known = self.lock();
        if let Some(leader) = &known.leader {
            return leader.clone();
        }
        known.next = (known.next + 1) % known.hosts.len().max(1);
        known.hosts.get(known.next).cloned().unwrap_or_else(|| self.peers.local().host.clone())
    }

    fn found(&self, host: HostId) {
        let mut known = self.lock();
        if known.leader.as_ref() != Some(&host) {
            info!(host:% = host; "peer: found the leader");
            known.leader = Some(host);
        }
    }

    /// Notes that a host does not lead, unless another was found meanwhile.
    fn lost(&self, host: &HostId, leader: Option<HostId>) {
        let mut known = self.lock();
        let is_current = known.leader.is_none() || known.leader.as_ref() == Some(host);
        if is_current {
            known.leader = leader.filter(|leader| leader != host);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

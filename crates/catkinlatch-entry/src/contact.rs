//! Which entry hosts are running, as far as this host knows while it hears no leader.

use catkinlatch_base::{HostId, Instant};
use std::{collections::BTreeMap, time::Duration};

/// How long after a host's last sign of life it is still taken to be running, beyond the time
/// without contact that the deployment allows. The leader's word about a host may be 1.4 s old, and
/// the directory has 3 s.
const MARGIN: Duration = Duration::from_secs(1);

/// How long the leader may be silent before this host looks for other hosts itself: longer than a
/// poll and the election of another leader usually take.
const SILENCE: Duration = Duration::from_millis(1_500);

/// The last signs of life of the leader and of other entry hosts.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// When the leader last answered, and thereby confirmed the entry hosts of its view.
    leader: Option<Instant>,
    /// When other entry hosts last accepted a connection.
    hosts: BTreeMap<HostId, Instant>,
    /// Position of the host at which the next round of probes begins.
    next: usize,
}

impl Contact {
    /// Records an answer of the leader, which confirms the entry hosts of its view.
    pub fn record_leader(&mut self, now: Instant) {
        self.leader = Some(now);
        self.hosts.clear();
    }

    /// Records that an entry host accepted a connection that was opened at `at`.
    pub fn record_host(&mut self, host: HostId, at: Instant) {
        self.hosts.insert(host, at);
    }

    /// Returns whether an entry host of the last view is taken to be running.
    ///
    /// `contact` is the time without contact that the deployment allows; if there is none, all
    /// hosts of the view are.
    pub fn is_running(&self, host: &HostId, contact: Option<Duration>, now: Instant) -> bool {
        let Some(contact) = contact else { return true };
        let last = self.leader.max(self.hosts.get(host).copied());
        last.is_some_and(|last| now < last + contact + MARGIN)
    }

    /// Returns whether the leader has not answered for longer than an election usually takes.
    pub fn is_leader_silent(&self, now: Instant) -> bool {
        self.leader.is_some_and(|leader| now >= leader + SILENCE)
    }

    /// Returns the hosts to be probed now, at most `count` of `hosts` in turn; none while the leader
    /// answers.
    pub fn next_probes(&mut self, hosts: &[HostId], count: usize, now: Instant) -> Vec<HostId> {
        if !self.is_leader_silent(now) || hosts.is_empty() {
            return Vec::new();
        }
        let start = self.next % hosts.len();
        let count = count.min(hosts.len());
        self.next = start + count;
        hosts.iter().cycle().skip(start).take(count).cloned().collect()
    }
}

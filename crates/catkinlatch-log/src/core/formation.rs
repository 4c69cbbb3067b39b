//! Peer discovery by nodes without a leader, and formation of the first configuration.

use super::{Core, Progress, State};
use crate::{Frame, HardState, Hello, Machine, Membership, Message, Payload, Peer, Refusal, Token};
use catkinlatch_base::{HostId, Incarnation, Instant, Term};
use std::{collections::BTreeSet, time::Duration};

/// How long a received hello stays valid, in heartbeat intervals.
const HELLO_LIFETIME_HEARTBEATS: u32 = 10;

/// Interval at which a node without a leader sends hellos, in heartbeat intervals.
const HELLO_INTERVAL_HEARTBEATS: u32 = 2;

/// Interval at which a leader sends hellos to seeds that it does not hear, in heartbeat intervals.
const LEADER_HELLO_INTERVAL_HEARTBEATS: u32 = 10;

/// Maximum number of hosts with state that a node remembers.
const MAX_CONTACTS: usize = 64;

/// Number of terms that an override skips, to exceed any term that an isolated leader may reach.
const OVERRIDE_TERM_GAP: u64 = 1_000;

/// The latest hello received from a host.
#[derive(Clone, Debug)]
pub struct Discovery {
    peer: Peer,
    term: Term,
    hello: Hello,
    at: Instant,
}

impl<M: Machine> Core<M> {
    /// Sends hellos to the seeds that do not follow this leader: a node without state knows nobody
    /// else.
    pub(super) fn greet_seeds(&mut self, now: Instant) {
        if now < self.hello_at || !self.settings.allows_unlisted_voters {
            return;
        }
        let State::Leader(leader) = &self.state else { return };
        self.hello_at = now + self.settings.heartbeat_interval * LEADER_HELLO_INTERVAL_HEARTBEATS;
        let limit = self.settings.learner_heartbeat_interval * 2;
        let followers: BTreeSet<&HostId> = leader
            .progress
            .values()
            .filter(|progress| progress.confirmed.is_some() && now < progress.last_contact + limit)
            .map(|progress| &progress.peer.host)
            .collect();
        let seeds = self.settings.hosts.iter().filter(|host| !followers.contains(host));
        let silent: BTreeSet<HostId> = seeds.cloned().collect();
        self.send_hellos(silent);
    }

    /// Replaces the seeds, which other hosts may have been started with since this node was.
    pub fn set_seeds(&mut self, seeds: &[HostId]) {
        // A first configuration that is still to be formed needs the hellos of all initial voters.
        let initial = if self.is_empty() { &self.settings.initial_voters[..] } else { &[] };
        let hosts: BTreeSet<HostId> = seeds.iter().chain(initial).cloned().collect();
        self.settings.hosts = hosts.into_iter().collect();
    }

    /// Returns the hosts with state that this node has heard from, so that a driver can keep them for
    /// the next run.
    pub fn contacts(&self) -> impl Iterator<Item = &HostId> {
        self.contacts.keys()
    }

    /// Adds hosts that an earlier run on this host has heard from.
    pub fn add_contacts(&mut self, now: Instant, hosts: &[HostId]) {
        hosts.iter().for_each(|host| self.remember_contact(now, host));
    }

    /// Remembers a host that holds state, so that this node also sends it hellos while it has no
    /// leader. Of too many hosts, the one that was heard longest ago is forgotten.
    pub(super) fn remember_contact(&mut self, now: Instant, host: &HostId) {
        if !self.settings.allows_unlisted_voters {
            return;
        }
        if let Some(heard) = self.contacts.get_mut(host) {
            *heard = now;
            return;
        }
        if self.contacts.len() >= MAX_CONTACTS {
            let oldest = self.contacts.iter().min_by_key(|(_, heard)| **heard);
            let oldest = oldest.map(|(host, _)| host.clone());
            oldest.and_then(|host| self.contacts.remove(&host));
        }
        self.contacts.insert(host.clone(), now);
    }

    /// Sends hellos to all hosts while there is no leader, and forms the first configuration once
    /// all initial voters agree.
    pub(super) fn tick_formation(&mut self, now: Instant) {
        if now < self.hello_at {
            return;
        }
        self.hello_at = now + self.settings.heartbeat_interval * HELLO_INTERVAL_HEARTBEATS;
        if self.leader.is_some() {
            return;
        }
        let lifetime = self.hello_lifetime();
        self.discovered.retain(|_, discovery| now < discovery.at + lifetime);
        let voters = self.membership().voters().iter().map(|voter| voter.host.clone());
        let seeds = self.settings.hosts.iter().chain(self.contacts.keys()).cloned();
        let hosts: BTreeSet<HostId> = voters.chain(seeds).collect();
        self.send_hellos(hosts);
        // Nodes that have state and follow a leader send hellos only after they lose it, so wait
        // until any such node would have sent one.
        let is_alone = self.settings.hosts.len() <= 1;
        let has_waited = is_alone || now >= self.started + self.step_down_timeout();
        if let Some(membership) = self.first_membership().filter(|_| has_waited) {
            self.form(now, membership);
        }
    }

    pub(super) fn on_hello(&mut self, now: Instant, term: Term, from: Peer, hello: Hello) {
        if hello.is_empty && !self.is_empty() {
            // Prevents the sender from forming a second configuration.
            let hello = self.hello();
            self.send(&from, Message::Hello(hello));
        }
        if !hello.is_empty {
            self.remember_contact(now, &from.host);
        }
        if self.settings.hosts.contains(&from.host) {
            let discovery = Discovery { peer: from.clone(), term, hello: hello.clone(), at: now };
            self.discovered.insert(from.host.clone(), discovery);
        }
        let next = self.entries.last_index().next();
        let bound = self.settings.max_learners;
        let State::Leader(leader) = &mut self.state else {
            return self.forward_hello(term, from, hello);
        };
        if leader.progress.contains_key(&from.incarnation) || leader.progress.len() >= bound {
            return;
        }
        leader.progress.insert(from.incarnation, Progress::new(from, next, now));
    }

    /// Forwards the hello of a node that may not know the leader to the leader.
    fn forward_hello(&mut self, term: Term, from: Peer, hello: Hello) {
        let Some(leader) = self.leader.clone().filter(|_| self.settings.allows_unlisted_voters)
        else {
            return;
        };
        if leader.host == from.host {
            return;
        }
        let message = Message::Hello(hello);
        let frame = Frame { term, from, ..self.frame(Some(leader.incarnation), message) };
        self.outbox.send(leader.host, frame);
    }

    fn hello(&self) -> Hello {
        Hello {
            is_empty: self.is_empty(),
            initial_voters: self.settings.initial_voters.clone(),
            recent_peers: self
                .discovered
                .values()
                .map(|discovery| discovery.peer.incarnation)
                .collect(),
        }
    }

    fn send_hellos(&mut self, hosts: BTreeSet<HostId>) {
        let hello = self.hello();
        for host in hosts {
            if host != self.identity.host {
                let frame = self.frame(None, Message::Hello(hello.clone()));
                self.outbox.send(host, frame);
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.memberships.is_empty() && self.entries.last_index() == crate::Index::ZERO
    }

    fn hello_lifetime(&self) -> Duration {
        self.settings.heartbeat_interval * HELLO_LIFETIME_HEARTBEATS
    }

    /// Returns the first configuration if this node is responsible for forming it and all initial
    /// voters agree. The initial voter with the lowest host id is responsible.
    fn first_membership(&self) -> Option<Membership> {
        let initial = &self.settings.initial_voters;
        let is_first = initial.iter().min() == Some(&self.identity.host);
        let all_empty = self.discovered.values().all(|discovery| discovery.hello.is_empty);
        if !self.is_empty() || !is_first || !all_empty || !self.contacts.is_empty() {
            return None;
        }
        let others = initial.iter().filter(|host| **host != self.identity.host);
        let discovered: Vec<&Discovery> =
            others.map(|host| self.discovered.get(host)).collect::<Option<_>>()?;
        let peers = discovered.iter().map(|discovery| discovery.peer.clone());
        let voters: Vec<Peer> = peers.chain([self.identity.clone()]).collect();
        let all: BTreeSet<Incarnation> = voters.iter().map(|voter| voter.incarnation).collect();
        let agrees = |discovery: &&Discovery| {
            let mut recent_peers: BTreeSet<Incarnation> =
                discovery.hello.recent_peers.iter().copied().collect();
            recent_peers.insert(discovery.peer.incarnation);
            discovery.hello.initial_voters == *initial && recent_peers.is_superset(&all)
        };
        discovered.iter().all(agrees).then(|| Membership::new(voters))
    }

    /// Appends the first configuration as if this node led, and starts an election under it.
    fn form(&mut self, now: Instant, membership: Membership) {
        let highest = self.discovered.values().map(|discovery| discovery.term).max();
        let term = highest.unwrap_or_default().max(self.hard_state.term).next();
        self.set_hard_state(HardState { term, vote: Some(self.identity.incarnation) });
        self.append(Payload::Members(membership));
        self.campaign(now);
    }

    /// Replaces the voters without consulting a quorum.
    pub(super) fn override_voters(&mut self, now: Instant, token: Token, hosts: &[HostId]) {
        let lifetime = self.hello_lifetime();
        let known = |host: &HostId| {
            if *host == self.identity.host {
                return Some(self.identity.clone());
            }
            let discovery =
                self.discovered.get(host).filter(|discovery| now < discovery.at + lifetime);
            discovery.map(|discovery| discovery.peer.clone())
        };
        let missing: Vec<HostId> =
            hosts.iter().filter(|host| known(host).is_none()).cloned().collect();
        if !missing.is_empty() || !hosts.contains(&self.identity.host) {
            return self.refuse(token, Refusal::Unreachable { hosts: missing });
        }
        let membership = Membership::new(hosts.iter().filter_map(known).collect());
        self.become_follower(now, self.hard_state.term, None);
        let term = Term::new(self.hard_state.term.get() + OVERRIDE_TERM_GAP);
        self.set_hard_state(HardState { term, vote: Some(self.identity.incarnation) });
        self.append(Payload::Members(membership));
        self.campaign(now);
    }
}

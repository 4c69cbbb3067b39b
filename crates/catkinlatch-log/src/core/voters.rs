//! Repair of the voters: the leader adds or removes one voter at a time.

use super::{Core, Leader, Progress, State};
use crate::{Action, Index, Machine, Membership, Payload, Peer, Report};
use catkinlatch_base::{HostId, Incarnation, Instant, ZoneId};
use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

/// Minimum number of voters that repair shrinks to, or keeps regardless of the disk rule.
const MIN_VOTERS: usize = 3;

/// Maximum age of a voter's last confirmation for the voter to count as responsive, in heartbeat
/// intervals. A voter is replaced only after a longer time without contact, see
/// [`Core::unresponsive_voters`].
const RESPONSIVE_HEARTBEATS: u32 = 2;

/// How long a retiring leader that stepped down starts no election, in election timeouts.
const STEP_DOWN_ELECTION_TIMEOUTS: u32 = 8;

/// How long selected learners may take to catch up before entries are also sent to as many others,
/// in election timeouts.
const CATCH_UP_ELECTION_TIMEOUTS: u32 = 6;

/// Maximum number of entries that a spare may be behind the commit position.
const MAX_SPARE_LAG_ENTRIES: u64 = 1_000;

/// How to replace a silent voter.
enum Replacement {
    /// This spare is added before the voter is removed.
    First(Peer),
    /// No spare has caught up, so the voter stays for now.
    Awaited,
    /// The voter is removed first.
    Afterwards,
}

impl<M: Machine> Core<M> {
    /// Makes the next change of voters, if one is due and the previous one is committed.
    pub(super) fn repair_voters(&mut self, now: Instant) {
        self.select_promotions(now);
        let State::Leader(leader) = &self.state else { return };
        let is_committed = self.commit >= leader.term_start
            && self.memberships.last().is_some_and(|(index, _)| *index <= self.commit);
        if now < leader.repair_at || !is_committed {
            return;
        }
        let next = self.next_membership(now, leader).filter(|next| self.is_safe(now, leader, next));
        let unresponsive = self.unresponsive_voters(now, leader);
        let has_reported = leader.reported;
        let is_awaiting = unresponsive
            .iter()
            .any(|silent| matches!(self.replacement(now, leader, silent), Replacement::Awaited));
        if let State::Leader(leader) = &mut self.state {
            leader.repair_at = now + self.settings.heartbeat_interval;
            let is_unrepaired = has_reported || !unresponsive.is_empty();
            leader.reported = next.is_none() && !is_awaiting && is_unrepaired;
        }
        match next {
            Some(membership) => self.change_voters(membership),
            None if self.may_step_down(&unresponsive) => self.step_down(now),
            None if !has_reported && !is_awaiting => self.report_voters(&unresponsive),
            None => {}
        }
    }

    /// Selects the learners that should become voters, so that entries are sent to them.
    fn select_promotions(&mut self, now: Instant) {
        let State::Leader(leader) = &self.state else { return };
        if self.settings.replicates_to_all_learners || now < leader.promote_at {
            return;
        }
        let mut selected = self.missing_voters(now, leader);
        let since = leader.promotions.as_ref().map_or(now, |(_, since)| *since);
        // A learner that does not catch up must not block the others. More of them at once would
        // take the leader's time and memory, and so catch up later.
        let period = self.settings.election_timeout * CATCH_UP_ELECTION_TIMEOUTS;
        let periods = (now - since).as_millis() / period.as_millis().max(1);
        let others = selected.len() * periods as usize;
        self.add_spares(now, leader, others, &mut selected);
        let promotions = (!selected.is_empty()).then_some((selected, since));
        if let State::Leader(leader) = &mut self.state {
            leader.promotions = promotions;
            leader.promote_at = now + self.settings.heartbeat_interval;
        }
    }

    /// Adds `count` more live learners to those that are to become voters, in zones without one of
    /// them first, and among these the ones that hold the most entries.
    fn add_spares(
        &self,
        now: Instant,
        leader: &Leader,
        count: usize,
        selected: &mut BTreeSet<Incarnation>,
    ) {
        for _ in 0..count {
            let zones: Vec<&ZoneId> = leader
                .progress
                .values()
                .filter(|progress| selected.contains(&progress.peer.incarnation))
                .map(|progress| &progress.peer.zone)
                .collect();
            let load = |peer: &Peer| zones.iter().filter(|zone| **zone == &peer.zone).count();
            let learners = self.live_learners(now, leader);
            let others = learners.filter(|other| !selected.contains(&other.peer.incarnation));
            let best = others.min_by_key(|other| {
                (!other.peer.has_disk, load(&other.peer), Reverse(other.matched))
            });
            let Some(best) = best else { return };
            selected.insert(best.peer.incarnation);
        }
    }

    /// Returns the live learners that should be voters, whether or not they have caught up.
    fn missing_voters(&self, now: Instant, leader: &Leader) -> BTreeSet<Incarnation> {
        let unresponsive = self.unresponsive_voters(now, leader);
        let current = self.membership();
        let live = unresponsive
            .iter()
            .fold(current.clone(), |live, failed| live.without(failed.incarnation));
        let learners: Vec<Peer> =
            self.live_learners(now, leader).map(|progress| progress.peer.clone()).collect();
        let desired = self.desired_voters(&live, &learners);
        let missing = desired.iter().filter(|peer| !current.contains(peer.incarnation));
        missing.map(|peer| peer.incarnation).collect()
    }

    /// Returns whether this leader is retiring and enough other voters remain without it.
    fn may_step_down(&self, unresponsive: &[Peer]) -> bool {
        let others: Vec<Peer> = self
            .membership()
            .voters()
            .iter()
            .filter(|voter| voter.incarnation != self.identity.incarnation)
            .cloned()
            .collect();
        unresponsive.is_empty()
            && self.retiring.contains(&self.identity.host)
            && others.len() >= MIN_VOTERS.max(self.desired_count(&others))
    }

    /// Steps down because this host is retiring, and delays this node's next candidacy, so that
    /// another node is elected.
    fn step_down(&mut self, now: Instant) {
        self.become_follower(now, self.hard_state.term, None);
        self.election_at = now + self.settings.election_timeout * STEP_DOWN_ELECTION_TIMEOUTS;
    }

    fn change_voters(&mut self, membership: Membership) {
        self.outbox.push(Action::Report(Report::Members { membership: membership.clone() }));
        if !membership.has_disk_quorum() && membership.disk_count() > 0 {
            let (disks, voters) = (membership.disk_count(), membership.voters().len());
            self.outbox.push(Action::Report(Report::DiskQuorumLost { disks, voters }));
        }
        let next = self.entries.last_index().next();
        for peer in membership.voters() {
            let State::Leader(leader) = &mut self.state else { return };
            if peer.incarnation != self.identity.incarnation {
                let new = || Progress::new(peer.clone(), next, leader.since);
                leader.progress.entry(peer.incarnation).or_insert_with(new);
            }
        }
        self.append(Payload::Members(membership));
    }

    fn report_voters(&mut self, unresponsive: &[Peer]) {
        for voter in unresponsive {
            self.outbox.push(Action::Report(Report::NoReplacement { voter: voter.clone() }));
        }
    }

    /// Returns the current voters changed by one step towards the desired voters.
    fn next_membership(&self, now: Instant, leader: &Leader) -> Option<Membership> {
        let current = self.membership();
        let unresponsive = self.unresponsive_voters(now, leader);
        let spares = self.spares(now, leader);
        let is_superseded = |peer: &&Peer| self.is_superseded(now, leader, peer);
        if let Some(superseded) = unresponsive.iter().find(is_superseded) {
            return self.remove_unresponsive(current, superseded, unresponsive.len(), &spares);
        }
        if let Some(silent) = unresponsive.first() {
            return match self.replacement(now, leader, silent) {
                Replacement::First(spare) => Some(current.with(spare)),
                Replacement::Awaited => None,
                Replacement::Afterwards => {
                    self.remove_unresponsive(current, silent, unresponsive.len(), &spares)
                }
            };
        }
        if self.responsive_voters(now, leader, current) < current.voters().len() {
            return None;
        }
        let next = self.rebalance(current, &spares)?;
        let voters = next.voters().len();
        let shrinks = voters < current.voters().len() && voters < self.settings.max_voters;
        // A new leader does not know the learners yet.
        (!shrinks || now >= leader.since + self.spare_timeout()).then_some(next)
    }

    /// Returns how long a leader waits for a spare that has caught up.
    fn spare_timeout(&self) -> Duration {
        self.settings.voter_timeout + self.settings.election_timeout * CATCH_UP_ELECTION_TIMEOUTS
    }

    /// Returns the live voters changed by one step towards the desired voters.
    ///
    /// The new voter is added before the surplus one is removed, unless the addition would cost the
    /// voters with a disk their quorum.
    fn rebalance(&self, current: &Membership, spares: &[Peer]) -> Option<Membership> {
        let desired = self.desired_voters(current, spares);
        let own = self.identity.incarnation;
        let mut voters = current.voters().iter();
        let surplus = voters.find(|peer| !desired.contains(peer) && peer.incarnation != own);
        let missing = desired.iter().find(|peer| !current.contains(peer.incarnation));
        let more = missing.map(|peer| current.with(peer.clone()));
        let less = surplus.map(|voter| current.without(voter.incarnation));
        let keeps_disks = |next: &Membership| next.has_disk_quorum() || !current.has_disk_quorum();
        match (more, less) {
            (Some(more), Some(_)) if keeps_disks(&more) => Some(more),
            (Some(more), Some(_)) if current.voters().len() <= MIN_VOTERS => Some(more),
            (_, Some(less)) => Some(less),
            (more, None) => more,
        }
    }

    /// Returns how a silent voter should be replaced.
    ///
    /// If its host has a disk, the voter may return with its log and its vote, and is worth as much
    /// as the others should these lose their disks: of six voters any two may be lost, of four only
    /// one. So a spare that has caught up is added first, and is awaited for some time. Without
    /// disks, the spare is added only afterwards, see [`Core::remove_unresponsive`].
    fn replacement(&self, now: Instant, leader: &Leader, silent: &Peer) -> Replacement {
        let current = self.membership();
        let returns = current.disk_count() == current.voters().len();
        let is_surplus = current.voters().len() > self.settings.max_voters;
        let mut learners = self.live_learners(now, leader);
        if !returns || is_surplus || !learners.any(|learner| learner.peer.has_disk) {
            return Replacement::Afterwards;
        }
        let spares = self.spares(now, leader).into_iter();
        let mut ready = spares.filter(|spare| {
            let is_second = current.contains_host(&spare.host);
            spare.has_disk && !is_second && self.is_caught_up(now, leader, spare)
        });
        if let Some(spare) =
            ready.find(|spare| self.is_safe(now, leader, &current.with(spare.clone())))
        {
            return Replacement::First(spare);
        }
        let contact = leader.progress.get(&silent.incarnation).map(|voter| voter.last_contact);
        let is_over = contact.is_none_or(|contact| now >= contact + self.spare_timeout());
        if is_over { Replacement::Afterwards } else { Replacement::Awaited }
    }

    /// Returns whether a spare confirms and holds all that was committed until shortly ago, so that
    /// a quorum that needs it commits as fast as before.
    fn is_caught_up(&self, now: Instant, leader: &Leader, spare: &Peer) -> bool {
        let window = self.settings.heartbeat_interval * RESPONSIVE_HEARTBEATS;
        let mut older = leader.recent_commits.iter().rev().filter(|(_, at)| now >= *at + window);
        let committed = older.next().map_or(leader.in_force_through, |(index, _)| *index);
        let progress = leader.progress.get(&spare.incarnation);
        self.is_responsive(now, leader, spare)
            && progress.is_some_and(|spare| spare.matched >= committed.max(leader.term_start))
    }

    /// Removes an unresponsive voter if a spare can replace it, or if a smaller configuration
    /// tolerates more failures.
    ///
    /// The spare is added afterwards: a configuration with both voters would need the spare for its
    /// quorum before the spare has proved reliable, and would stall if the spare failed too.
    fn remove_unresponsive(
        &self,
        current: &Membership,
        failed: &Peer,
        unresponsive: usize,
        spares: &[Peer],
    ) -> Option<Membership> {
        let voters = current.voters().len();
        let alive = voters - unresponsive;
        let gains = alive >= MIN_VOTERS && alive / 2 + 1 < current.quorum();
        let is_repairable = !spares.is_empty() || gains;
        is_repairable.then(|| current.without(failed.incarnation))
    }

    /// Returns whether a quorum of the new voters is responsive, so that the change will commit.
    ///
    /// A change that cannot commit would obstruct a leader elected under the old voters.
    fn is_safe(&self, now: Instant, leader: &Leader, next: &Membership) -> bool {
        self.responsive_voters(now, leader, next) >= next.quorum()
    }

    /// Counts the voters with a recent confirmation, including this node.
    fn responsive_voters(&self, now: Instant, leader: &Leader, membership: &Membership) -> usize {
        membership.voters().iter().filter(|voter| self.is_responsive(now, leader, voter)).count()
    }

    /// Returns whether a voter has confirmed recently, or is this node.
    pub(super) fn is_responsive(&self, now: Instant, leader: &Leader, voter: &Peer) -> bool {
        let window = self.settings.heartbeat_interval * RESPONSIVE_HEARTBEATS;
        let progress = leader.progress.get(&voter.incarnation);
        let confirmed = progress.and_then(|progress| progress.confirmed);
        voter.incarnation == self.identity.incarnation
            || confirmed.is_some_and(|confirmed| now < confirmed + window)
    }

    /// Returns the voters that have been unresponsive for too long, or whose host runs another
    /// identity.
    fn unresponsive_voters(&self, now: Instant, leader: &Leader) -> Vec<Peer> {
        let is_silent = |voter: &&Peer| {
            let Some(progress) = leader.progress.get(&voter.incarnation) else { return false };
            let is_superseded = self.is_superseded(now, leader, voter);
            let limit =
                if is_superseded { self.step_down_timeout() } else { self.settings.voter_timeout };
            now >= progress.last_contact + limit
        };
        self.membership().voters().iter().filter(is_silent).cloned().collect()
    }

    /// Returns whether the host of a voter runs another identity, so that the voter never returns.
    fn is_superseded(&self, now: Instant, leader: &Leader, voter: &Peer) -> bool {
        leader.progress.values().any(|other| {
            other.peer.host == voter.host
                && other.peer.incarnation != voter.incarnation
                && other.confirmed.is_some()
                && now < other.last_contact + self.settings.election_timeout
        })
    }

    /// Returns the learners that can vote immediately, best first: hosts with a disk, then zones
    /// without a voter.
    fn spares(&self, now: Instant, leader: &Leader) -> Vec<Peer> {
        let current = self.membership();
        let floor = Index::new(self.commit.get().saturating_sub(MAX_SPARE_LAG_ENTRIES));
        let spares = self.live_learners(now, leader).filter(|learner| learner.matched >= floor);
        let mut spares: Vec<Peer> = spares.map(|learner| learner.peer.clone()).collect();
        let zones = current.zones();
        spares.sort_by_key(|peer| {
            (Reverse(peer.has_disk), zones.contains(&peer.zone), peer.host.clone())
        });
        spares
    }

    /// Returns the learners that are eligible as voters and have replied recently.
    fn live_learners<'a>(
        &'a self,
        now: Instant,
        leader: &'a Leader,
    ) -> impl Iterator<Item = &'a Progress> {
        let current = self.membership();
        leader.progress.values().filter(move |progress| {
            let peer = &progress.peer;
            !current.contains(peer.incarnation)
                && (self.settings.allows_unlisted_voters
                    || self.settings.hosts.contains(&peer.host))
                && !self.retiring.contains(&peer.host)
                && progress.confirmed.is_some()
                && now < progress.last_contact + self.settings.learner_heartbeat_interval * 2
        })
    }

    /// Returns the desired voters among the live nodes: this leader first, then hosts with a disk,
    /// spread across zones.
    fn desired_voters(&self, current: &Membership, spares: &[Peer]) -> Vec<Peer> {
        let mut left: Vec<Peer> = current.voters().iter().chain(spares).cloned().collect();
        left.retain(|peer| !self.retiring.contains(&peer.host));
        let count = self.desired_count(&left);
        let mut desired: Vec<Peer> = Vec::new();
        let mut hosts = BTreeSet::new();
        while desired.len() < count {
            let own = self.identity.incarnation;
            let zone_load =
                |peer: &Peer| desired.iter().filter(|other| other.zone == peer.zone).count();
            let rank = |peer: &Peer| {
                let is_voter = current.contains(peer.incarnation);
                let is_leader = peer.incarnation == own;
                (!is_leader, !peer.has_disk, zone_load(peer), !is_voter, peer.host.clone())
            };
            let Some(best) = left.iter().min_by_key(|peer| rank(peer)).cloned() else { break };
            left.retain(|peer| peer.incarnation != best.incarnation);
            if hosts.insert(best.host.clone()) {
                desired.push(best);
            }
        }
        desired
    }

    /// Returns the desired number of voters: such that the voters with a disk form a quorum where
    /// possible, and odd unless there are only two.
    fn desired_count(&self, live: &[Peer]) -> usize {
        let hosts: BTreeSet<_> = live.iter().map(|peer| &peer.host).collect();
        let disks = live.iter().filter(|peer| peer.has_disk).count();
        let by_disks = if disks == 0 { usize::MAX } else { 2 * disks - 1 };
        let most = self.settings.max_voters.min(by_disks.max(MIN_VOTERS)).min(hosts.len());
        if most > MIN_VOTERS && most.is_multiple_of(2) { most - 1 } else { most }
    }

    /// Sets the retiring hosts, which are to hold no state: they are not selected as voters, and
    /// the leader replaces those that are.
    pub fn set_retiring(&mut self, hosts: BTreeSet<HostId>) {
        self.retiring = hosts;
    }

    /// Returns the voters that have been unresponsive for too long, as known to this leader.
    pub fn unresponsive(&self, now: Instant) -> Vec<Incarnation> {
        let State::Leader(leader) = &self.state else { return Vec::new() };
        self.unresponsive_voters(now, leader).into_iter().map(|peer| peer.incarnation).collect()
    }
}

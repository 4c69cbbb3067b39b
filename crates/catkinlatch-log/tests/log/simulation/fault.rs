//! Random faults: crashes, lost disks, partitions, pauses, failing storage and changing clock
//! rates.

use super::{
    clock::{self, FASTEST, SLOWEST},
    host::Host,
    world::{Event, MILLISECOND, SECOND, World},
};
use catkinlatch_base::Incarnation;
use catkinlatch_log::{Core, Index, Peer, Role};

impl World {
    pub fn fault(&mut self) {
        if !self.injects_faults {
            return;
        }
        let number = self.random.usize(..self.hosts.len());
        match self.random.u8(..13) {
            12 => self.isolate_leader_with_slow_clock(),
            0..3 => self.crash(number, false),
            3 => self.crash(number, true),
            4 | 5 => self.isolate(number),
            6 => self.block_one_way(number),
            7 => self.split(),
            8 | 9 => self.pause(number),
            10 => {
                let writes = self.random.u64(..5);
                self.hosts[number].storage.fail_after(writes);
                self.hosts[number].disk_works_since = None;
                let at = self.now + self.random.u64(100 * MILLISECOND..10 * SECOND);
                self.schedule(at, Event::RepairDisk { host: number });
            }
            _ => {
                let now = self.now;
                let rate = clock::draw_rate(&mut self.random);
                self.hosts[number].clock.set_rate(now, rate);
            }
        }
        self.restart_failed();
        let next = self.now + self.random.u64(50 * MILLISECOND..3 * SECOND);
        self.schedule(next, Event::Fault);
    }

    /// Crashes a process and schedules its restart. A host without a disk, or whose disk is lost,
    /// restarts as a new identity.
    fn crash(&mut self, number: usize, loses_disk: bool) {
        let is_lost = loses_disk || !self.hosts[number].peer.has_disk;
        if is_lost {
            if !self.may_lose(number) {
                return;
            }
            self.lost_at = self.now;
        }
        let kept = self.random.usize(..=self.hosts[number].storage.unsynced());
        let host = &mut self.hosts[number];
        if host.core.take().is_none() && !is_lost {
            return;
        }
        host.run += 1;
        host.storage.crash(kept);
        host.has_identity &= !is_lost;
        let longest = if self.random.u8(..4) == 0 { 20 } else { 3 };
        let at = self.now + self.random.u64(..longest * SECOND);
        self.schedule(at, Event::Restart { host: number });
    }

    /// Returns whether each configuration that may be in effect keeps a quorum of steady hosts
    /// without this one, and no other identity was lost within the last second.
    ///
    /// Before a configuration is committed, a host that is down may be the only one that knows the
    /// first voters, so none of them may be lost.
    pub fn may_lose(&self, number: usize) -> bool {
        let cores: Vec<&Core<_>> = self.hosts.iter().filter_map(|h| h.core.as_ref()).collect();
        // A leader's newest configuration may not be committed; those of its followers then show
        // the one before.
        let last_term = cores.iter().map(|core| core.last_term()).max();
        let newest = cores.iter().filter(|core| Some(core.last_term()) == last_term);
        let committed = cores.iter().max_by_key(|core| core.commit());
        let steady: Vec<Incarnation> = (0..self.hosts.len())
            .filter(|other| *other != number && self.is_steady(*other))
            .map(|other| self.hosts[other].peer.incarnation)
            .collect();
        let keeps = |voters: &[Peer]| {
            let left = voters.iter().filter(|peer| steady.contains(&peer.incarnation)).count();
            voters.is_empty() || left > voters.len() / 2
        };
        let is_alone = self.now > self.lost_at + SECOND;
        let has_formed = cores.iter().any(|core| core.commit() > Index::ZERO);
        has_formed && is_alone && newest.chain(committed).all(|core| keeps(core.voters()))
    }

    /// Returns whether a host has run without pauses and blocked links for more than a second.
    fn is_steady(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        let is_blocked =
            self.blocked_links.keys().any(|(from, to)| *from == number || *to == number);
        let runs = host.core.as_ref().is_some_and(|core| core.role() != Role::Failed);
        runs && !host.paused && !is_blocked && self.now > host.disturbed_at + SECOND
    }

    fn isolate(&mut self, number: usize) {
        let others = (0..self.hosts.len()).filter(|other| *other != number);
        let links = others.flat_map(|other| [(number, other), (other, number)]).collect();
        self.block_links(links);
    }

    /// Isolates the leader while its clock runs as slowly as possible and all others as fast as
    /// possible.
    fn isolate_leader_with_slow_clock(&mut self) {
        let leads = |host: &Host| host.core.as_ref().is_some_and(|c| c.leading_since().is_some());
        let Some(leader) = self.hosts.iter().position(leads) else { return };
        let now = self.now;
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let rate = if number == leader { SLOWEST } else { FASTEST };
            host.clock.set_rate(now, rate);
        }
        self.isolate(leader);
    }

    /// Blocks either the outgoing or the incoming links of a host, with all other hosts or with a
    /// single one.
    fn block_one_way(&mut self, number: usize) {
        let only = self.random.bool().then(|| self.random.usize(..self.hosts.len()));
        let others = (0..self.hosts.len())
            .filter(|other| *other != number && only.is_none_or(|only| only == *other));
        let is_outgoing = self.random.bool();
        let links = others
            .map(|other| if is_outgoing { (number, other) } else { (other, number) })
            .collect();
        self.block_links(links);
    }

    fn split(&mut self) {
        let sides: Vec<bool> = self.hosts.iter().map(|_| self.random.bool()).collect();
        let mut links = Vec::new();
        for from in 0..sides.len() {
            for to in 0..sides.len() {
                if sides[from] != sides[to] {
                    links.push((from, to));
                }
            }
        }
        self.block_links(links);
    }

    fn block_links(&mut self, links: Vec<(usize, usize)>) {
        for link in &links {
            *self.blocked_links.entry(*link).or_default() += 1;
        }
        let longest = if self.random.u8(..5) == 0 { 20 } else { 4 };
        let at = self.now + self.random.u64(100 * MILLISECOND..longest * SECOND);
        self.schedule(at, Event::Heal { links });
    }

    fn pause(&mut self, number: usize) {
        self.hosts[number].paused = true;
        let at = self.now + self.random.u64(100 * MILLISECOND..6 * SECOND);
        self.schedule(at, Event::Resume { host: number });
    }

    /// Restarts processes without a disk whose storage failed; those with one return by themselves.
    fn restart_failed(&mut self) {
        for number in 0..self.hosts.len() {
            let host: &Host = &self.hosts[number];
            let failed = host.core.as_ref().is_some_and(|core| core.role() == Role::Failed);
            if failed && !host.peer.has_disk && self.may_lose(number) {
                self.crash(number, false);
            }
        }
    }

    /// Returns those of the given voters whose identity no longer exists.
    pub fn lost_voters(&self, voters: &[Peer]) -> Vec<Incarnation> {
        let surviving_identities = self.surviving_identities();
        let lost = voters.iter().filter(|peer| !surviving_identities.contains(&peer.incarnation));
        lost.map(|peer| peer.incarnation).collect()
    }
}

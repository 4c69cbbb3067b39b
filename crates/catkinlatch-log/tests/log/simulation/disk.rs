//! Disks that fail and work again, and hosts that return to the log by themselves.

use super::{
    host::Digest,
    world::{Event, MILLISECOND, SECOND, World},
};
use catkinlatch_base::Incarnation;
use catkinlatch_log::{
    Core, Index, Input, Role,
    storage::{Memory, Trust},
};

/// Pause between two trials of a failed storage.
pub const TRIAL_NANOS: u64 = 250 * MILLISECOND;

/// How long after its disk works again a host may be out of the log.
const REJOIN_NANOS: u64 = SECOND;

impl World {
    /// Ends the failure of a disk, after which its host must be back in the log in time.
    pub fn repair_disk(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.storage.recover();
        host.disk_works_since = Some(self.now);
    }

    /// Opens the failed storage of a running process again, as the process does by itself.
    pub fn reopen(&mut self, number: usize, run: u64, trust: Trust) {
        let host = &self.hosts[number];
        let failed = |core: &Core<Digest>| core.role() == Role::Failed;
        if host.run != run || !host.core.as_ref().is_some_and(failed) || !host.peer.has_disk {
            return;
        }
        if host.storage.is_failing() || host.paused {
            self.schedule(self.now + TRIAL_NANOS, Event::Reopen { host: number, run, trust });
            return;
        }
        // Losing what was synced is a lost disk, of which the hosts bear one at a time.
        let keeps = trust == Trust::Synced || !self.may_lose(number);
        if !keeps {
            self.lost_at = self.now;
            let incarnation = self.draw_incarnation();
            self.hosts[number].peer.incarnation = Incarnation::new(incarnation);
            self.hosts[number].storage = Memory::new();
        }
        let kept = self.random.usize(..=self.hosts[number].storage.unsynced());
        let random = fastrand::Rng::with_seed(self.random.u64(..));
        // With an emptied log, a host that forms a first configuration would form a second cluster.
        let mut settings = self.settings.clone();
        if !keeps {
            settings.initial_voters = Vec::new();
        }
        let host = &mut self.hosts[number];
        let restored = host.storage.crash(kept);
        host.run += 1;
        host.disturbed_at = self.now;
        host.disk_works_since = None;
        host.inbox.clear();
        host.checked = Index::ZERO;
        let local = host.clock.local(self.now);
        host.core = Some(Core::new(settings, host.peer.clone(), Some(restored), random, local));
        self.enqueue(number, Input::Tick);
    }

    /// Checks that no host is out of the log for long although its disk works.
    pub fn check_rejoined(&self) {
        for (number, host) in self.hosts.iter().enumerate() {
            let failed = |core: &Core<Digest>| core.role() == Role::Failed;
            let is_out = host.core.as_ref().is_some_and(failed) && !host.paused;
            let since = host.disk_works_since.filter(|_| host.peer.has_disk && is_out);
            assert!(
                since.is_none_or(|since| self.now < since.max(host.disturbed_at) + REJOIN_NANOS),
                "host {number} is out of the log although its disk works"
            );
        }
    }
}

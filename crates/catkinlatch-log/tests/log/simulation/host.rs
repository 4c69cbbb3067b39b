//! One host of the randomised runs: its process, storage and clock.

use super::clock::Clock;
use catkinlatch_base::Instant;
use catkinlatch_log::{Core, Index, Input, Machine, Peer, storage::Memory};

/// Folds all commands and their order into one figure.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    pub value: u64,
}

impl Machine for Digest {
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, index: Index, command: &u64) -> u64 {
        for word in [index.get(), *command] {
            self.value = (self.value ^ word).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(17);
        }
        self.value
    }
}

pub struct Host {
    pub peer: Peer,
    pub core: Option<Core<Digest>>,
    pub storage: Memory<u64>,
    pub clock: Clock,
    /// Counts the processes that ran here, so that events of an old one are dropped.
    pub run: u64,
    /// The newest request to be woken.
    pub wake: u64,
    /// When a fault of this host last ended.
    pub disturbed_at: u64,
    pub paused: bool,
    pub inbox: Vec<Input<u64>>,
    /// Whether an identity with synced state is here, running or not.
    pub has_identity: bool,
    /// The newest position that a reader could see here under a configuration lease.
    pub observed: Index,
    /// The last position whose commit was checked in this run.
    pub checked: Index,
}

impl Host {
    pub fn local(&self, now: u64) -> Instant {
        self.clock.local(now)
    }
}

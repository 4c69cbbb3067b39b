//! This host as a member of the log, under one identity after another.

use crate::Settings;
use catkinlatch_base::{HostId, Incarnation, Instant, ZoneId, random};
use catkinlatch_ledger::{Command, State};
use catkinlatch_log::{Core, Peer, Restored, Settings as LogSettings};
use std::{collections::BTreeSet, path::PathBuf};

/// What stays the same over all identities that this host has in the log.
pub struct Member {
    settings: LogSettings,
    host: HostId,
    zone: ZoneId,
    /// The identity under which this host joined last.
    identity: Option<Incarnation>,
    /// The data folder.
    pub folder: PathBuf,
}

impl Member {
    /// Creates the member for a process with these settings.
    pub fn new(settings: LogSettings, process: &Settings, folder: PathBuf) -> Self {
        Self {
            settings,
            host: process.host.clone(),
            zone: process.zone.clone(),
            identity: None,
            folder,
        }
    }

    /// Replaces the seeds for the next identity of this host.
    pub fn set_seeds(&mut self, seeds: &[HostId]) {
        let hosts: BTreeSet<_> = seeds.iter().chain(&self.settings.initial_voters).collect();
        self.settings.hosts = hosts.into_iter().cloned().collect();
    }

    /// Joins the log with what the storage holds: when the process starts, and after a failed
    /// storage was opened again.
    ///
    /// Under another identity than before, the host never forms a first configuration: with an
    /// emptied log it would form a second cluster.
    pub fn join(
        &mut self,
        identity: Incarnation,
        restored: Restored<Command>,
        now: Instant,
    ) -> Core<State> {
        if *self.identity.get_or_insert(identity) != identity {
            self.identity = Some(identity);
            self.settings.initial_voters = Vec::new();
        }
        let peer = Peer {
            host: self.host.clone(),
            incarnation: identity,
            zone: self.zone.clone(),
            has_disk: true,
        };
        Core::new(self.settings.clone(), peer, Some(restored), random::generator(), now)
    }
}

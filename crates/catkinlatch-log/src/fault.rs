//! What is wrong with settings.

use crate::Settings;
use derive_more::Display;
use std::time::Duration;

/// Something that is wrong with [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// A voter would desert a live leader after a few lost heartbeats.
    #[display("election ({election:?}) must be at least 4 times beat ({beat:?}); lower beat")]
    Election {
        /// [`Settings::election`].
        election: Duration,
        /// [`Settings::beat`].
        beat: Duration,
    },
    /// Nodes would stop work between two heartbeats or while a new leader is elected.
    #[display("configuration_lease ({lease:?}) must be at least {least:?}; raise it")]
    ConfigurationLease {
        /// [`Settings::configuration_lease`].
        lease: Duration,
        /// The shortest that works.
        least: Duration,
    },
    /// A voter would be replaced before it can be told from a slow one.
    #[display("silence ({silence:?}) must be at least twice election ({election:?}); raise it")]
    Silence {
        /// [`Settings::silence`].
        silence: Duration,
        /// [`Settings::election`].
        election: Duration,
    },
    /// The drift leaves no lease.
    #[display("drift must be at least 0 and below 0.5")]
    Drift,
    /// There is nothing to form a configuration from.
    #[display("initial_voters must name hosts, each of which is in hosts")]
    InitialVoters,
}

/// Returns all that is wrong with the settings.
pub fn check(settings: &Settings) -> Vec<Fault> {
    let Settings { beat, learner_beat, election, silence, .. } = *settings;
    let lease = settings.configuration_lease;
    let least = (learner_beat * 3).max(election * 3);
    let voters = &settings.initial_voters;
    let all_known = voters.iter().all(|host| settings.hosts.contains(host));
    let checks = [
        (election >= beat * 4, Fault::Election { election, beat }),
        (lease >= least, Fault::ConfigurationLease { lease, least }),
        (silence >= election * 2, Fault::Silence { silence, election }),
        ((0.0..0.5).contains(&settings.drift), Fault::Drift),
        ((settings.is_open || !voters.is_empty()) && all_known, Fault::InitialVoters),
    ];
    checks.into_iter().filter(|(holds, _)| !holds).map(|(_, fault)| fault).collect()
}

//! Validation of [`Settings`].

use crate::Settings;
use derive_more::Display;
use std::time::Duration;

/// Inconsistency in [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The election timeout is too short: a voter would abandon a live leader after a few lost
    /// heartbeats.
    #[display("election ({election:?}) must be at least 4 times beat ({beat:?}); lower beat")]
    Election {
        /// Value of [`Settings::election`].
        election: Duration,
        /// Value of [`Settings::beat`].
        beat: Duration,
    },
    /// The configuration lease is too short: nodes would stop work between two heartbeats or during
    /// the election of a new leader.
    #[display("configuration_lease ({lease:?}) must be at least {least:?}; raise it")]
    ConfigurationLease {
        /// Value of [`Settings::configuration_lease`].
        lease: Duration,
        /// Shortest valid duration.
        least: Duration,
    },
    /// The silence limit is too short: a voter would be replaced before it can be distinguished
    /// from a slow one.
    #[display("silence ({silence:?}) must be at least twice election ({election:?}); raise it")]
    Silence {
        /// Value of [`Settings::silence`].
        silence: Duration,
        /// Value of [`Settings::election`].
        election: Duration,
    },
    /// The drift is out of range: it would leave no leader lease.
    #[display("drift must be at least 0 and below 0.5")]
    Drift,
    /// There are no initial voters to form a configuration from, or some are not in
    /// [`Settings::hosts`].
    #[display("initial_voters must name hosts, each of which is in hosts")]
    InitialVoters,
}

/// Returns all faults of the settings.
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

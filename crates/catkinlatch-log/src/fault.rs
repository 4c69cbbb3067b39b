//! Validation of [`Settings`].

use crate::Settings;
use derive_more::Display;
use std::time::Duration;

/// Inconsistency in [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The election timeout is too short: a voter would abandon a live leader after a few lost
    /// heartbeats.
    #[display(
        "election_timeout ({election_timeout:?}) must be at least 4 times heartbeat_interval \
              ({heartbeat_interval:?}); lower heartbeat_interval"
    )]
    ElectionTimeout {
        /// Value of [`Settings::election_timeout`].
        election_timeout: Duration,
        /// Value of [`Settings::heartbeat_interval`].
        heartbeat_interval: Duration,
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
    /// The voter timeout is too short: a voter would be replaced before it can be distinguished
    /// from a slow one.
    #[display(
        "voter_timeout ({voter_timeout:?}) must be at least twice election_timeout \
              ({election_timeout:?}); raise it"
    )]
    VoterTimeout {
        /// Value of [`Settings::voter_timeout`].
        voter_timeout: Duration,
        /// Value of [`Settings::election_timeout`].
        election_timeout: Duration,
    },
    /// The clock drift is out of range: it would leave no leader lease.
    #[display("max_clock_drift must be at least 0 and below 0.5")]
    MaxClockDrift,
    /// There are no initial voters although [`Settings::allows_unlisted_voters`] is not set, or
    /// some are not in [`Settings::hosts`].
    #[display("initial_voters must name hosts, each of which is in hosts")]
    InitialVoters,
}

/// Returns all faults of the settings.
pub fn check(settings: &Settings) -> Vec<Fault> {
    let Settings {
        heartbeat_interval,
        learner_heartbeat_interval,
        election_timeout,
        voter_timeout,
        ..
    } = *settings;
    let lease = settings.configuration_lease;
    let least = (learner_heartbeat_interval * 3).max(election_timeout * 3);
    let voters = &settings.initial_voters;
    let all_known = voters.iter().all(|host| settings.hosts.contains(host));
    let checks = [
        (
            election_timeout >= heartbeat_interval * 4,
            Fault::ElectionTimeout { election_timeout, heartbeat_interval },
        ),
        (lease >= least, Fault::ConfigurationLease { lease, least }),
        (
            voter_timeout >= election_timeout * 2,
            Fault::VoterTimeout { voter_timeout, election_timeout },
        ),
        ((0.0..0.5).contains(&settings.max_clock_drift), Fault::MaxClockDrift),
        (
            (settings.allows_unlisted_voters || !voters.is_empty()) && all_known,
            Fault::InitialVoters,
        ),
    ];
    checks.into_iter().filter(|(holds, _)| !holds).map(|(_, fault)| fault).collect()
}

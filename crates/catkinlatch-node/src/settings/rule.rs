//! Rules that several fields of the settings must satisfy together.

use super::{Peer, Role, Settings, load::Places};
use catkinlatch_base::{Findings, HostId};
use std::collections::BTreeSet;

/// How many heartbeat intervals a lease must span at least, so that a lost heartbeat does not end
/// it.
const MIN_HEARTBEATS_PER_LEASE: u64 = 4;

/// The drift margin must be at least the lease divided by this, since the rate of each clock may be
/// off by a tenth either way.
const MAX_LEASE_PER_DRIFT_MARGIN: u64 = 5;

/// How many leases a change of leader may take: the old lease expires, and then a voter waits for
/// up to two more before it stands for election.
const MAX_LEASES_PER_FAILOVER: u64 = 3;

/// The maximum number of voters of the control log.
const MAX_VOTERS: usize = 5;

/// A rule: the fields that it reads, and the check that returns its violations.
struct Rule {
    fields: &'static [&'static str],
    violations: fn(&Settings) -> Vec<Violation>,
}

/// A violation of a rule, and a hint on how to correct it.
struct Violation {
    text: String,
    hint: String,
}

const RULES: &[Rule] = &[
    Rule { fields: &["lease_ms", "beat_ms"], violations: lease_spans_heartbeats },
    Rule { fields: &["drift_margin_ms", "lease_ms"], violations: drift_fits_lease },
    Rule {
        fields: &["configuration_lease_ms", "lease_ms"],
        violations: configuration_outlasts_failover,
    },
    Rule { fields: &["repair_after_ms", "lease_ms"], violations: repair_outlasts_leases },
    Rule { fields: &["listen", "operator_listen", "peer_listen"], violations: ports_differ },
    Rule { fields: &["operator_token", "operator_listen"], violations: operator_port_has_token },
    Rule { fields: &["cluster_secret", "peers"], violations: peers_need_secret },
    Rule { fields: &["host", "peers"], violations: host_is_peer },
    Rule { fields: &["zone", "host", "peers"], violations: zone_agrees },
    Rule { fields: &["data_folder", "host", "peers"], violations: disk_agrees },
    Rule { fields: &["peers"], violations: peers_differ },
    Rule { fields: &["initial_voters", "peers", "host"], violations: voters_are_peers },
    Rule { fields: &["initial_voters", "peers"], violations: voters_match_disks },
    Rule { fields: &["roles", "initial_voters", "host"], violations: roles_match_voters },
];

/// Checks all rules whose fields are valid; a violation is placed at the first field of its rule
/// that is in the file.
pub fn check(settings: &Settings, places: &Places) -> Findings {
    let mut findings = Findings::new();
    for rule in RULES.iter().filter(|rule| places.are_valid(rule.fields)) {
        for violation in (rule.violations)(settings) {
            findings.add(places.of(rule.fields), violation.text, violation.hint);
        }
    }
    findings
}

fn violation(text: impl Into<String>, hint: impl Into<String>) -> Vec<Violation> {
    vec![Violation { text: text.into(), hint: hint.into() }]
}

fn lease_spans_heartbeats(s: &Settings) -> Vec<Violation> {
    let min_ms = s.beat_ms.saturating_mul(MIN_HEARTBEATS_PER_LEASE);
    if s.lease_ms >= min_ms {
        return Vec::new();
    }
    let text =
        format!("lease_ms must be at least {MIN_HEARTBEATS_PER_LEASE} times beat_ms ({min_ms})");
    violation(text, "raise lease_ms or lower beat_ms")
}

fn drift_fits_lease(s: &Settings) -> Vec<Violation> {
    let (min_ms, max_ms) = (s.lease_ms.div_ceil(MAX_LEASE_PER_DRIFT_MARGIN), s.lease_ms / 2);
    if (min_ms..=max_ms).contains(&s.drift_margin_ms) {
        return Vec::new();
    }
    let text = format!(
        "drift_margin_ms must be from a fifth to a half of lease_ms ({min_ms} to {max_ms})"
    );
    violation(text, "change drift_margin_ms or lease_ms")
}

fn configuration_outlasts_failover(s: &Settings) -> Vec<Violation> {
    let failover = s.lease_ms.saturating_mul(MAX_LEASES_PER_FAILOVER);
    if s.configuration_lease_ms >= failover {
        return Vec::new();
    }
    let text = format!(
        "configuration_lease_ms must be at least {MAX_LEASES_PER_FAILOVER} times lease_ms \
         ({failover}), or a change of leader stops the entry hosts"
    );
    violation(text, "raise configuration_lease_ms")
}

fn repair_outlasts_leases(s: &Settings) -> Vec<Violation> {
    let min_ms = s.lease_ms.saturating_mul(2);
    if s.repair_after_ms >= min_ms {
        return Vec::new();
    }
    let text = format!("repair_after_ms must be at least 2 times lease_ms ({min_ms})");
    violation(text, "raise repair_after_ms")
}

fn ports_differ(s: &Settings) -> Vec<Violation> {
    let all = [s.listen, s.operator_listen, s.peer_listen];
    let fixed: Vec<_> = all.into_iter().filter(|address| address.port() != 0).collect();
    if fixed.iter().collect::<BTreeSet<_>>().len() == fixed.len() {
        return Vec::new();
    }
    let text = "listen, operator_listen and peer_listen must differ";
    violation(text, "give each its own port")
}

fn operator_port_has_token(s: &Settings) -> Vec<Violation> {
    if s.operator_token.is_some() || s.operator_listen.ip().is_loopback() {
        return Vec::new();
    }
    let text = "operator_token is missing while operator_listen is open to other hosts";
    violation(text, "set operator_token or listen on 127.0.0.1")
}

fn peers_need_secret(s: &Settings) -> Vec<Violation> {
    if s.cluster_secret.is_some() || s.peers.len() < 2 {
        return Vec::new();
    }
    violation("cluster_secret is missing", "set the same cluster_secret on all hosts")
}

fn own_entry(s: &Settings) -> Option<&Peer> {
    s.peers.iter().find(|peer| peer.host == s.host)
}

fn host_is_peer(s: &Settings) -> Vec<Violation> {
    if s.peers.is_empty() || own_entry(s).is_some() {
        return Vec::new();
    }
    let text = format!("host {} is not among the peers", s.host);
    violation(text, "list all hosts in peers, this one included")
}

fn zone_agrees(s: &Settings) -> Vec<Violation> {
    let Some(peer) = own_entry(s).filter(|peer| peer.zone != s.zone) else { return Vec::new() };
    let text = format!("zone is {}, but peers place {} in {}", s.zone, s.host, peer.zone);
    violation(text, "correct zone or the entry in peers")
}

fn disk_agrees(s: &Settings) -> Vec<Violation> {
    let Some(peer) = own_entry(s).filter(|peer| peer.disk != s.data_folder.is_some()) else {
        return Vec::new();
    };
    let text = format!("data_folder and the disk entry of {} in peers disagree", peer.host);
    violation(text, "set data_folder where, and only where, the host has a disk")
}

fn peers_differ(s: &Settings) -> Vec<Violation> {
    let (mut hosts, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    let mut violations = Vec::new();
    for peer in &s.peers {
        if !hosts.insert(&peer.host) {
            let text = format!("peers list host {} twice", peer.host);
            violations.extend(violation(text, "give each host its own name"));
        }
        for address in [&peer.peer_address, &peer.advertise, &peer.operator_address] {
            if !addresses.insert(address) {
                let text = format!("peers list address {address} twice");
                violations.extend(violation(text, "give each interface its own address"));
            }
        }
    }
    violations
}

fn voters_are_peers(s: &Settings) -> Vec<Violation> {
    let known = |host: &HostId| s.peers.iter().any(|peer| peer.host == *host) || *host == s.host;
    let unknown = s.initial_voters.iter().filter(|host| !known(host));
    let violation_of = |host| {
        let text = format!("initial_voters names {host}, which is not among the peers");
        violation(text, "name hosts from peers")
    };
    unknown.flat_map(violation_of).collect()
}

fn voters_match_disks(s: &Settings) -> Vec<Violation> {
    let voters: BTreeSet<_> = s.initial_voters.iter().collect();
    let mut violations = Vec::new();
    if voters.len() != s.initial_voters.len() {
        violations.extend(violation("initial_voters names a host twice", "name each host once"));
    }
    if voters.len() > MAX_VOTERS || (!voters.is_empty() && voters.len() % 2 == 0) {
        let text = format!("initial_voters has {} hosts; it must have 1, 3 or 5", voters.len());
        violations.extend(violation(text, "a sixth or an even voter adds no safety"));
    }
    let disks = s.peers.iter().filter(|peer| peer.disk && voters.contains(&peer.host)).count();
    if disks > 0 && voters.len() > 2 * disks - 1 {
        let text = format!(
            "initial_voters has {} hosts, of which {disks} have a disk; the hosts with a disk \
             must be a majority",
            voters.len()
        );
        violations.extend(violation(text, "name fewer voters, or more that have a disk"));
    }
    violations
}

fn roles_match_voters(s: &Settings) -> Vec<Violation> {
    if s.roles.is_empty() {
        return violation("roles is empty", "name at least one of entry, control and relay");
    }
    if s.initial_voters.contains(&s.host) && !s.has_role(Role::Control) {
        let text = format!("{} is an initial voter without the role control", s.host);
        return violation(text, "add \"control\" to roles or remove it from initial_voters");
    }
    Vec::new()
}

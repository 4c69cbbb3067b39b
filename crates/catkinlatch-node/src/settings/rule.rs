//! Rules between the fields of settings.

use super::{Peer, Role, Settings, load::Places};
use catkinlatch_base::{Findings, HostId};
use std::collections::BTreeSet;

/// How many heartbeats a lease must span, so that a lost one does not end it.
const BEATS_IN_LEASE: u64 = 4;

/// The part of the lease that the drift margin must be, as a divisor; clocks may differ by a
/// tenth each way.
const LEASE_IN_DRIFT: u64 = 5;

/// How many leases a change of leader may take: one runs out, and a voter waits for up to two.
const LEASES_IN_FAILOVER: u64 = 3;

/// The most voters of the control log.
const MAX_VOTERS: usize = 5;

/// One rule: the fields that it reads, and what breaks it.
struct Rule {
    reads: &'static [&'static str],
    broken: fn(&Settings) -> Vec<Breach>,
}

/// What breaks a rule, and what to do about it.
struct Breach {
    text: String,
    hint: String,
}

const RULES: &[Rule] = &[
    Rule { reads: &["lease_ms", "beat_ms"], broken: lease_spans_beats },
    Rule { reads: &["drift_margin_ms", "lease_ms"], broken: drift_fits_lease },
    Rule {
        reads: &["configuration_lease_ms", "lease_ms"],
        broken: configuration_outlasts_failover,
    },
    Rule { reads: &["repair_after_ms", "lease_ms"], broken: repair_is_patient },
    Rule { reads: &["listen", "operator_listen", "peer_listen"], broken: ports_differ },
    Rule { reads: &["operator_token", "operator_listen"], broken: operator_port_is_guarded },
    Rule { reads: &["cluster_secret", "peers"], broken: peers_need_secret },
    Rule { reads: &["host", "peers"], broken: host_is_peer },
    Rule { reads: &["zone", "host", "peers"], broken: zone_agrees },
    Rule { reads: &["data_folder", "host", "peers"], broken: disk_agrees },
    Rule { reads: &["peers"], broken: peers_differ },
    Rule { reads: &["initial_voters", "peers", "host"], broken: voters_are_peers },
    Rule { reads: &["initial_voters", "peers"], broken: voters_fit_disks },
    Rule { reads: &["roles", "initial_voters", "host"], broken: roles_fit },
];

/// Checks all rules whose fields are sound.
pub fn check(settings: &Settings, places: &Places) -> Findings {
    let mut findings = Findings::new();
    for rule in RULES.iter().filter(|rule| places.sound(rule.reads)) {
        for breach in (rule.broken)(settings) {
            findings.add(places.of(rule.reads), breach.text, breach.hint);
        }
    }
    findings
}

fn breach(text: impl Into<String>, hint: impl Into<String>) -> Vec<Breach> {
    vec![Breach { text: text.into(), hint: hint.into() }]
}

fn lease_spans_beats(s: &Settings) -> Vec<Breach> {
    let least = s.beat_ms.saturating_mul(BEATS_IN_LEASE);
    if s.lease_ms >= least {
        return Vec::new();
    }
    let text = format!("lease_ms must be at least {BEATS_IN_LEASE} times beat_ms ({least})");
    breach(text, "raise lease_ms or lower beat_ms")
}

fn drift_fits_lease(s: &Settings) -> Vec<Breach> {
    let (least, most) = (s.lease_ms.div_ceil(LEASE_IN_DRIFT), s.lease_ms / 2);
    if (least..=most).contains(&s.drift_margin_ms) {
        return Vec::new();
    }
    let text =
        format!("drift_margin_ms must be from a fifth to a half of lease_ms ({least} to {most})");
    breach(text, "change drift_margin_ms or lease_ms")
}

fn configuration_outlasts_failover(s: &Settings) -> Vec<Breach> {
    let failover = s.lease_ms.saturating_mul(LEASES_IN_FAILOVER);
    if s.configuration_lease_ms >= failover {
        return Vec::new();
    }
    let text = format!(
        "configuration_lease_ms must be at least {LEASES_IN_FAILOVER} times lease_ms \
         ({failover}), or a change of leader stops the entry hosts"
    );
    breach(text, "raise configuration_lease_ms")
}

fn repair_is_patient(s: &Settings) -> Vec<Breach> {
    let least = s.lease_ms.saturating_mul(2);
    if s.repair_after_ms >= least {
        return Vec::new();
    }
    let text = format!("repair_after_ms must be at least 2 times lease_ms ({least})");
    breach(text, "raise repair_after_ms")
}

fn ports_differ(s: &Settings) -> Vec<Breach> {
    let all = [s.listen, s.operator_listen, s.peer_listen];
    let fixed: Vec<_> = all.into_iter().filter(|address| address.port() != 0).collect();
    if fixed.iter().collect::<BTreeSet<_>>().len() == fixed.len() {
        return Vec::new();
    }
    let text = "listen, operator_listen and peer_listen must differ";
    breach(text, "give each its own port")
}

fn operator_port_is_guarded(s: &Settings) -> Vec<Breach> {
    if s.operator_token.is_some() || s.operator_listen.ip().is_loopback() {
        return Vec::new();
    }
    let text = "operator_token is missing while operator_listen is open to other hosts";
    breach(text, "set operator_token or listen on 127.0.0.1")
}

fn peers_need_secret(s: &Settings) -> Vec<Breach> {
    if s.cluster_secret.is_some() || s.peers.len() < 2 {
        return Vec::new();
    }
    breach("cluster_secret is missing", "set the same cluster_secret on all hosts")
}

fn own_entry(s: &Settings) -> Option<&Peer> {
    s.peers.iter().find(|peer| peer.host == s.host)
}

fn host_is_peer(s: &Settings) -> Vec<Breach> {
    if s.peers.is_empty() || own_entry(s).is_some() {
        return Vec::new();
    }
    let text = format!("host {} is not among the peers", s.host);
    breach(text, "list all hosts in peers, this one included")
}

fn zone_agrees(s: &Settings) -> Vec<Breach> {
    let Some(peer) = own_entry(s).filter(|peer| peer.zone != s.zone) else { return Vec::new() };
    let text = format!("zone is {}, but peers place {} in {}", s.zone, s.host, peer.zone);
    breach(text, "correct zone or the entry in peers")
}

fn disk_agrees(s: &Settings) -> Vec<Breach> {
    let Some(peer) = own_entry(s).filter(|peer| peer.disk != s.data_folder.is_some()) else {
        return Vec::new();
    };
    let text = format!("data_folder and the disk entry of {} in peers disagree", peer.host);
    breach(text, "set data_folder where, and only where, the host has a disk")
}

fn peers_differ(s: &Settings) -> Vec<Breach> {
    let (mut hosts, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    let mut breaches = Vec::new();
    for peer in &s.peers {
        if !hosts.insert(&peer.host) {
            let text = format!("peers list host {} twice", peer.host);
            breaches.extend(breach(text, "give each host its own name"));
        }
        for address in [&peer.peer_address, &peer.advertise, &peer.operator_address] {
            if !addresses.insert(address) {
                let text = format!("peers list address {address} twice");
                breaches.extend(breach(text, "give each interface its own address"));
            }
        }
    }
    breaches
}

fn voters_are_peers(s: &Settings) -> Vec<Breach> {
    let known = |host: &HostId| s.peers.iter().any(|peer| peer.host == *host) || *host == s.host;
    let strangers = s.initial_voters.iter().filter(|host| !known(host));
    let of_stranger = |host| {
        let text = format!("initial_voters names {host}, which is not among the peers");
        breach(text, "name hosts from peers")
    };
    strangers.flat_map(of_stranger).collect()
}

fn voters_fit_disks(s: &Settings) -> Vec<Breach> {
    let voters: BTreeSet<_> = s.initial_voters.iter().collect();
    let mut breaches = Vec::new();
    if voters.len() != s.initial_voters.len() {
        breaches.extend(breach("initial_voters names a host twice", "name each host once"));
    }
    if voters.len() > MAX_VOTERS || (!voters.is_empty() && voters.len() % 2 == 0) {
        let text = format!("initial_voters has {} hosts; it must have 1, 3 or 5", voters.len());
        breaches.extend(breach(text, "a sixth or an even voter adds no safety"));
    }
    let disks = s.peers.iter().filter(|peer| peer.disk && voters.contains(&peer.host)).count();
    if disks > 0 && voters.len() > 2 * disks - 1 {
        let text = format!(
            "initial_voters has {} hosts, of which {disks} have a disk; the hosts with a disk \
             must be a majority",
            voters.len()
        );
        breaches.extend(breach(text, "name fewer voters, or more that have a disk"));
    }
    breaches
}

fn roles_fit(s: &Settings) -> Vec<Breach> {
    if s.roles.is_empty() {
        return breach("roles is empty", "name at least one of entry, control and relay");
    }
    if s.initial_voters.contains(&s.host) && !s.has_role(Role::Control) {
        let text = format!("{} is an initial voter without the role control", s.host);
        return breach(text, "add \"control\" to roles or remove it from initial_voters");
    }
    Vec::new()
}

//! Formation of the first configuration, and cases in which it must not form.

use crate::net::{Net, host, settings};
use catkinlatch_log::{Group, Input, Refusal, Role, Token};

#[test]
fn three_hosts_form_commit_and_fail_over() {
    let mut net = Net::with_leader(settings(3, 3), 3);
    net.commit(7);
    net.run_for(500);
    assert!((0..3).all(|number| net.journal(number) == [7]));
    let first = net.leader().unwrap();
    net.isolate(first);
    net.run_for(5_000);
    let second = net.leader().expect("another leader is elected");
    assert_ne!(first, second);
    assert_eq!(net.core(first).role(), Role::Candidate);
    assert_eq!(net.commit(8).get(), net.core(second).commit().get());
}

#[test]
fn formation_waits_for_every_initial_voter() {
    let mut net = Net::new(settings(3, 3), 3);
    net.start(0);
    net.start(1);
    net.run_for(20_000);
    assert_eq!(net.leader(), None);
    net.start(2);
    net.run_for(5_000);
    assert!(net.leader().is_some());
}

#[test]
fn no_second_cluster_forms_while_a_node_has_state() {
    let mut net = Net::with_leader(settings(4, 3), 0);
    net.commit(7);
    net.run_for(1_000);
    for number in 0..3 {
        net.kill(number);
    }
    for number in 0..3 {
        net.start(number);
    }
    net.run_for(20_000);
    assert_eq!(net.leader(), None);
    assert_eq!(net.journal(3), [7]);
}

#[test]
fn an_override_forms_a_cluster_without_a_host_that_never_started() {
    let mut net = Net::new(settings(3, 3), 3);
    net.start(0);
    net.start(1);
    net.run_for(5_000);
    let token = Token::new(1);
    let hosts = vec![host(0), host(1), host(2)];
    net.enqueue(0, Input::Override { token, hosts });
    net.run_for(10);
    assert_eq!(net.refused[&token], Refusal::Unreachable { hosts: vec![host(2)] });
    let hosts = vec![host(0), host(1)];
    net.enqueue(0, Input::Override { token: Token::new(2), hosts });
    net.run_for(5_000);
    net.commit(7);
    assert_eq!(net.voters(), [0, 1]);
}

#[test]
fn an_override_recovers_from_a_lost_quorum() {
    let mut net = Net::with_leader(settings(3, 3), 0);
    net.commit(7);
    net.run_for(1_000);
    let lost = net.leader().unwrap();
    let left = (lost + 1) % 3;
    net.kill(lost);
    net.kill((lost + 2) % 3);
    net.run_for(20_000);
    assert_eq!(net.leader(), None);
    net.enqueue(left, Input::Override { token: Token::new(1), hosts: vec![host(left)] });
    net.run_for(5_000);
    net.commit(8);
    assert_eq!(net.journal(left), [7, 8]);
}

#[test]
fn frames_of_another_cluster_or_group_are_ignored() {
    let mut net = Net::with_leader(settings(3, 3), 3);
    let leader = net.leader().unwrap();
    let term = net.core(leader).term();
    let mut other = settings(3, 3);
    other.cluster = "other".parse().unwrap();
    let mut foreign = Net::with_leader(other, 3);
    let mut group = settings(3, 3);
    group.group = Group::new(1);
    let mut sibling = Net::with_leader(group, 3);
    for stranger in [&mut foreign, &mut sibling] {
        // Each election raises the stranger's term, until it exceeds that of the cluster under
        // test.
        for _ in 0..5 {
            let leader = stranger.leader().unwrap();
            stranger.isolate(leader);
            stranger.run_for(5_000);
            stranger.heal();
            stranger.run_for(2_000);
        }
        let sent = stranger.sent_by_leader();
        assert!(sent.iter().any(|frame| frame.term > term));
        for mut frame in sent {
            frame.to = None;
            net.enqueue(leader, Input::Receive(frame));
        }
    }
    net.run_for(2_000);
    assert_eq!((net.leader(), net.core(leader).term()), (Some(leader), term));
}

#[test]
fn all_settings_faults_are_reported() {
    let mut wrong = settings(3, 3);
    assert_eq!(wrong.faults(), []);
    wrong.heartbeat_interval = wrong.election_timeout;
    wrong.voter_timeout = wrong.election_timeout;
    wrong.configuration_lease = wrong.election_timeout;
    wrong.max_clock_drift = 0.5;
    wrong.initial_voters = vec![host(9)];
    assert_eq!(wrong.faults().len(), 5);
}

#[test]
fn formation_waits_until_all_initial_voters_reach_each_other() {
    let mut net = Net::new(settings(3, 3), 3);
    net.cut_link(1, 2);
    net.start_all();
    net.run_for(20_000);
    assert_eq!(net.leader(), None);
    net.heal();
    net.run_for(5_000);
    assert!(net.leader().is_some());
}

//! A first configuration forms, commits and elects again after its leader is gone.

use crate::net::Net;
use catkinlatch_base::Instant;
use catkinlatch_log::{Role, Token};

#[test]
fn three_hosts_form_commit_and_fail_over() {
    let mut net = Net::new(3, 1);
    net.run_for(5_000);
    let first = net.leader().expect("a leader is elected");
    net.propose(first, Token::new(1), 7);
    net.run_for(1_000);
    assert_eq!(net.applied(), vec![vec![7]; 3]);
    net.cut(first);
    net.run_for(5_000);
    let second = net.leader_besides(first).expect("another leader is elected");
    assert_eq!(net.core(first).lease(net.now()), None);
    assert!(net.core(second).lease(net.now()).is_some());
    assert_eq!(net.core(first).role(), Role::Candidate);
    assert!(net.now() > Instant::ZERO);
}

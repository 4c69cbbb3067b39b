//! Clusters in which hosts are configured with a few seeds only, and retiring hosts.

use crate::net::{Net, settings};

/// Creates three seeds, which are the voters, and two hosts that are not configured as seeds and
/// not started.
fn three_seeds() -> Net {
    let mut three = settings(5, 3);
    three.max_voters = 3;
    Net::with_seeds(three, 3)
}

/// Creates three voters and a host that can replace one of them. The leader, which is returned, is
/// retiring.
fn net_with_retired_leader() -> (Net, usize) {
    let mut net = three_seeds();
    net.start(3);
    net.commit(1);
    net.run_for(2_000);
    let leader = net.leader().unwrap();
    net.retire(leader);
    (net, leader)
}

#[test]
fn an_unlisted_host_replaces_a_lost_voter() {
    let mut net = three_seeds();
    net.commit(1);
    net.start(3);
    net.run_for(2_000);
    let leader = net.leader().unwrap();
    let lost = net.voters().into_iter().find(|number| *number != leader).unwrap();
    net.kill(lost);
    net.run_for(8_000);
    let voters = net.voters();
    assert!(voters.contains(&3) && !voters.contains(&lost), "{voters:?}");
    net.commit(2);
    assert_eq!(net.journal(3), [1, 2]);
}

#[test]
fn a_new_host_finds_a_leader_that_is_not_a_seed() {
    let mut net = three_seeds();
    net.commit(1);
    net.start(3);
    net.run_for(2_000);
    let seeds: Vec<usize> = net.voters();
    // Retire or kill seeds until the unlisted host leads.
    net.retire(seeds[0]);
    net.run_for(12_000);
    net.kill(seeds[0]);
    while net.leader() != Some(3) {
        let leader = net.leader().unwrap();
        net.kill(leader);
        net.run_for(3_000);
        net.start(leader);
        net.run_for(3_000);
    }
    net.start(4);
    net.run_for(4_000);
    net.commit(2);
    net.run_for(1_000);
    assert_eq!(net.journal(4), [1, 2]);
}

#[test]
fn a_retiring_leader_steps_down_and_leaves_the_voters() {
    let (mut net, leader) = net_with_retired_leader();
    net.run_for(8_000);
    let voters = net.voters();
    assert!(voters.len() == 3 && !voters.contains(&leader), "{voters:?}");
    assert_ne!(net.leader(), Some(leader));
    net.commit(2);
}

#[test]
fn a_retiring_host_stays_a_voter_until_it_can_be_replaced() {
    let mut net = three_seeds();
    net.commit(1);
    let leader = net.leader().unwrap();
    net.retire(leader);
    net.run_for(8_000);
    assert_eq!(net.voters().len(), 3);
    net.commit(2);
}

/// Creates three voters and two reserve hosts, which receive no entries.
fn net_with_reserve() -> Net {
    let mut three = settings(5, 3);
    three.max_voters = 3;
    three.replicates_to_all_learners = false;
    let mut net = Net::with_seeds(three, 3);
    net.commit(1);
    net.start(3);
    net.start(4);
    net.run_for(2_000);
    net
}

#[test]
fn a_reserve_host_receives_no_entries_until_it_is_promoted() {
    let mut net = net_with_reserve();
    net.commit(2);
    net.run_for(2_000);
    assert_eq!((net.journal(3), net.journal(4)), (&[][..], &[][..]));
    let leader = net.leader().unwrap();
    let lost = net.voters().into_iter().find(|number| *number != leader).unwrap();
    net.kill(lost);
    net.run_for(8_000);
    let voters = net.voters();
    assert!(voters.len() == 3 && !voters.contains(&lost), "{voters:?}");
    let (taken, left) = if voters.contains(&3) { (3, 4) } else { (4, 3) };
    net.commit(3);
    net.run_for(1_000);
    assert_eq!((net.journal(taken), net.journal(left)), (&[1, 2, 3][..], &[][..]));
}

#[test]
fn a_reserve_host_that_cannot_catch_up_does_not_block_others() {
    let mut net = net_with_reserve();
    let leader = net.leader().unwrap();
    let lost = net.voters().into_iter().find(|number| *number != leader).unwrap();
    net.fill_disk(3);
    net.kill(lost);
    net.run_for(20_000);
    assert!(net.voters().contains(&4), "{:?}", net.voters());
    net.commit(3);
}

/// Catching up takes long with a large log, and each further host that gets it takes the leader's
/// time.
#[test]
fn entries_are_sent_to_few_reserve_hosts_while_one_catches_up() {
    const HOSTS: usize = 23;
    const ENTRIES: u64 = 5_000;
    let mut many = settings(HOSTS, 3);
    many.max_voters = 3;
    many.replicates_to_all_learners = false;
    (many.max_entries, many.max_in_flight_entries) = (1, 1);
    many.snapshot_every = 10 * ENTRIES;
    let mut net = Net::with_seeds(many, 3);
    let leader = net.leader().unwrap();
    for command in 1..=ENTRIES {
        net.propose(leader, command);
    }
    net.run_for(2 * ENTRIES + 5_000);
    (3..HOSTS).for_each(|number| net.start(number));
    net.run_for(2_000);
    let lost = net.voters().into_iter().find(|number| *number != leader).unwrap();
    net.kill(lost);
    let mut most = 0;
    for _ in 0..100 {
        net.run_for(500);
        most = most.max((3..HOSTS).filter(|number| !net.journal(*number).is_empty()).count());
    }
    let voters = net.voters();
    assert!(voters.len() == 3 && !voters.contains(&lost), "{voters:?}");
    assert!((2..=4).contains(&most), "entries were sent to {most} reserve hosts");
}

#[test]
fn a_retiring_voter_is_replaced_by_a_reserve_host() {
    let mut net = net_with_reserve();
    let leader = net.leader().unwrap();
    let retired = net.voters().into_iter().find(|number| *number != leader).unwrap();
    net.retire(retired);
    net.run_for(8_000);
    let voters = net.voters();
    assert!(voters.len() == 3 && !voters.contains(&retired), "{voters:?}");
    let before = net.journal(retired).len();
    net.commit(2);
    net.run_for(1_000);
    assert_eq!(net.journal(retired).len(), before, "it still gets entries");
}

#[test]
fn a_retiring_leader_leaves_the_voters_promptly() {
    let (mut net, leader) = net_with_retired_leader();
    // Four hosts vote while the leader hands over, so no two of them form a quorum. A new leader
    // must be elected, which takes up to two election timeouts of one second, and contact all hosts
    // first.
    net.run_for(3_500);
    let voters = net.voters();
    assert!(voters.len() == 3 && !voters.contains(&leader), "{voters:?}");
}

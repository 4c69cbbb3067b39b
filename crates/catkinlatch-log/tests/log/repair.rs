//! Repair of the voters after hosts fail.

use crate::net::{COMMAND_BYTES, Net, settings};
use catkinlatch_log::{Index, Refusal, Role};

/// Returns a voter that is neither the leader nor in `excluded`.
fn follower(net: &Net, excluded: &[usize]) -> usize {
    let leader = net.leader().unwrap();
    let mut voters = net.voters().into_iter();
    voters.find(|number| *number != leader && !excluded.contains(number)).unwrap()
}

#[test]
fn a_second_host_may_fail_right_after_a_repair() {
    let mut three = settings(6, 3);
    three.max_voters = 3;
    let mut net = Net::with_leader(three, 3);
    net.commit(1);
    let first = follower(&net, &[]);
    net.kill(first);
    net.run_for(6_500);
    let voters = net.voters();
    assert!(voters.len() == 3 && !voters.contains(&first), "{voters:?}");
    let second = net.leader().unwrap();
    net.kill(second);
    net.run_for(4_000);
    net.commit(2);
    let third = net.leader().unwrap();
    assert_eq!(net.journal(third), [1, 2]);
}

#[test]
fn a_restarted_voter_without_a_disk_rejoins_under_a_new_identity() {
    let mut net = Net::with_leader(settings(3, 3), 0);
    net.commit(1);
    let number = follower(&net, &[]);
    let old = net.core(number).identity().incarnation;
    net.kill(number);
    net.run_for(300);
    net.start(number);
    net.run_for(8_000);
    let leader = net.leader().unwrap();
    let voters = net.core(leader).voters();
    assert_eq!(voters.len(), 3);
    assert!(voters.iter().all(|voter| voter.incarnation != old));
    assert_eq!(net.core(number).role(), Role::Follower);
    assert_eq!(net.journal(number), [1]);
}

#[test]
fn a_wiped_disk_makes_a_new_identity() {
    let mut net = Net::with_leader(settings(3, 3), 3);
    net.commit(1);
    let number = follower(&net, &[]);
    let old = net.core(number).identity().incarnation;
    net.kill(number);
    net.wipe(number);
    net.start(number);
    net.run_for(10_000);
    assert_ne!(net.core(number).identity().incarnation, old);
    assert_eq!(net.core(number).role(), Role::Follower);
    assert_eq!(net.journal(number), [1]);
}

#[test]
fn all_hosts_with_disks_restart_at_once() {
    let mut net = Net::with_leader(settings(3, 3), 3);
    for command in 0..300 {
        let leader = net.leader().unwrap();
        net.propose(leader, command);
    }
    net.run_for(1_000);
    for number in 0..3 {
        net.kill(number);
    }
    net.start_all();
    net.run_for(5_000);
    net.commit(300);
    let leader = net.leader().unwrap();
    assert!(net.journal(leader).iter().copied().eq(0..=300));
}

#[test]
fn hosts_with_disks_form_a_quorum_after_a_power_loss() {
    let mut net = Net::with_leader(settings(6, 5), 3);
    net.commit(1);
    net.run_for(1_000);
    assert_eq!(net.voters().len(), 5);
    for number in 0..6 {
        net.kill(number);
    }
    net.start_all();
    net.run_for(15_000);
    net.commit(2);
    net.run_for(1_500);
    assert!((0..6).all(|number| net.journal(number) == [1, 2]));
}

#[test]
fn a_host_far_behind_receives_a_snapshot_in_chunks() {
    let mut small = settings(4, 3);
    (small.snapshot_every, small.snapshot_keep, small.chunk_bytes) = (50, 5, 64);
    let mut net = Net::new(small, 3);
    for number in 0..3 {
        net.start(number);
    }
    net.run_for(5_000);
    for command in 0..400 {
        let leader = net.leader().unwrap();
        net.propose(leader, command);
    }
    net.run_for(1_000);
    net.start(3);
    net.run_for(10_000);
    assert!(net.journal(3).iter().copied().eq(0..400));
}

/// Guards against a log of large entries that is kept whole, since it has few.
#[test]
fn a_log_of_many_bytes_is_replaced_by_a_snapshot() {
    let mut small = settings(3, 3);
    (small.snapshot_every, small.snapshot_keep) = (10_000, 1_000);
    (small.snapshot_bytes, small.snapshot_keep_bytes) = (50 * COMMAND_BYTES, 5 * COMMAND_BYTES);
    let mut net = Net::with_leader(small, 3);
    let leader = net.leader().unwrap();
    for command in 0..180 {
        net.propose(leader, command);
        net.run_for(5);
    }
    net.run_for(1_000);
    for number in 0..3 {
        let (core, last) = (net.core(number), net.core(number).last_index().get());
        let kept = (1..=last).filter(|index| core.entry(Index::new(*index)).is_some()).count();
        assert!(kept <= 60, "host {number} keeps {kept} of {last} entries");
        assert!(core.entry(Index::new(last)).is_some());
    }
    let number = follower(&net, &[]);
    net.kill(number);
    net.wipe(number);
    net.start(number);
    net.run_for(10_000);
    net.kill(net.leader().unwrap());
    net.run_for(4_000);
    net.commit(180);
    assert!(net.journal(number).iter().copied().eq(0..=180));
}

/// Guards against a message of large entries that is longer than a frame may be, so that an empty disk
/// never gets them.
#[test]
fn an_empty_disk_gets_large_entries_in_several_messages() {
    let mut small = settings(3, 3);
    (small.max_entry_bytes, small.max_in_flight_bytes) = (4 * COMMAND_BYTES, 8 * COMMAND_BYTES);
    let mut net = Net::with_leader(small, 3);
    let (leader, number) = (net.leader().unwrap(), follower(&net, &[]));
    net.kill(number);
    net.wipe(number);
    for command in 0..200 {
        net.propose(leader, command);
    }
    net.run_for(100);
    net.most_commands = 0;
    net.start(number);
    net.run_for(10_000);
    assert!(net.journal(number).iter().copied().eq(0..200));
    assert_eq!(net.most_commands, 4);
}

#[test]
fn a_leader_whose_disk_is_full_steps_down_and_confirms_nothing() {
    let mut net = Net::with_leader(settings(3, 3), 3);
    let first = net.leader().unwrap();
    net.fill_disk(first);
    let token = net.propose(first, 1);
    net.run_for(100);
    assert_eq!(net.core(first).role(), Role::Failed);
    assert_eq!(net.core(first).lease(net.now()), None);
    assert_eq!(net.refused[&token], Refusal::Unknown);
    assert!(!net.applied.contains_key(&token));
    net.run_for(5_000);
    assert_ne!(net.leader().expect("another leads"), first);
    net.commit(2);
}

#[test]
fn a_repair_does_not_depend_on_a_spare_that_failed_undetected() {
    let mut three = settings(4, 3);
    three.max_voters = 3;
    let mut net = Net::with_leader(three, 0);
    let voter = follower(&net, &[]);
    let voters = net.voters();
    let spare = (0..4).find(|number| !voters.contains(number)).unwrap();
    net.kill(voter);
    net.run_for(4_500);
    net.kill(spare);
    net.run_for(5_000);
    net.commit(1);
}

#[test]
fn an_isolated_voter_is_kept_when_another_has_just_failed() {
    let mut three = settings(4, 3);
    three.max_voters = 3;
    let mut net = Net::with_leader(three, 0);
    let isolated = follower(&net, &[]);
    let failing = follower(&net, &[isolated]);
    net.isolate(isolated);
    net.run_for(4_500);
    net.kill(failing);
    net.run_for(3_000);
    net.heal();
    net.run_for(5_000);
    net.commit(1);
}

/// Creates five voters without a disk and a sixth host with a disk, which is not started.
fn five_voters_and_a_spare_with_a_disk() -> Net {
    let mut net = Net::new(settings(6, 5), 0);
    net.add_disk(5);
    for number in 0..5 {
        net.start(number);
    }
    net.run_for(10_000);
    net
}

#[test]
fn live_voters_are_not_replaced_while_others_are_failing() {
    let mut net = five_voters_and_a_spare_with_a_disk();
    let leader = net.leader().unwrap();
    let failing: Vec<usize> = (0..5).rev().filter(|number| *number != leader).take(2).collect();
    for number in failing {
        net.kill(number);
    }
    net.run_for(450);
    net.start(5);
    net.run_for(20_000);
    net.commit(1);
}

#[test]
fn voters_do_not_shrink_when_one_has_just_failed() {
    let mut net = five_voters_and_a_spare_with_a_disk();
    // The voter that would remain with the leader and the spare, each in a zone of its own.
    let failing = usize::from(net.leader().unwrap().is_multiple_of(3));
    net.kill(failing);
    net.run_for(450);
    net.start(5);
    net.run_for(3_000);
    net.kill(5);
    net.run_for(10_000);
    net.commit(1);
}

#[test]
fn a_leader_knows_how_many_voters_may_be_lost() {
    let mut three = settings(3, 3);
    three.max_voters = 3;
    let mut net = Net::with_leader(three, 3);
    net.commit(1);
    net.run_for(1_000);
    let leader = net.leader().unwrap();
    let redundancy = |net: &Net| net.core(leader).redundancy(net.now()).unwrap();
    assert_eq!((redundancy(&net).losses, redundancy(&net).silent.len()), (1, 0));
    let lost = follower(&net, &[]);
    let host = net.core(lost).identity().host.clone();
    net.kill(lost);
    net.run_for(1_000);
    assert_eq!((redundancy(&net).losses, redundancy(&net).silent), (0, vec![host]));
    net.start(lost);
    net.run_for(3_000);
    assert_eq!(redundancy(&net).losses, 1);
    assert!(net.core(lost).redundancy(net.now()).is_none(), "only the leader knows");
}

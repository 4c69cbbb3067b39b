//! Bandwidth of heartbeats and changes, and CPU time, by number of nodes.

use super::net::Net;
use std::time::{Duration, Instant as WallClock};

/// Simulated duration of each measurement.
const SPAN: Duration = Duration::from_secs(30);

/// Size of a change in bytes.
const CHANGE_BYTES: usize = 200;

/// Changes per second, far above the expected 850 per day.
const CHANGES_PER_SECOND: u64 = 1;

/// Prints the tables.
pub fn run() {
    println!(
        "\n## Bytes sent, idle and with {CHANGES_PER_SECOND} change of {CHANGE_BYTES} B a second"
    );
    println!("| nodes | voters | leader B/s idle | other B/s idle | leader B a change |");
    println!("|---|---|---|---|---|");
    for (nodes, voters) in [(3, 3), (6, 5), (24, 5), (96, 5), (390, 5)] {
        measure(nodes, voters);
    }
    println!("\n## Processor time of all nodes together, idle, share of a core");
    println!("| nodes | share of a core | µs a node and second |");
    println!("|---|---|---|");
    for (nodes, voters) in [(6, 5), (24, 5), (96, 5), (390, 5)] {
        processor(nodes, voters);
    }
}

fn measure(nodes: usize, voters: usize) {
    let mut net = Net::new(nodes, voters, Duration::from_millis(1), 1);
    let leader = net.leader().expect("a leader is elected");
    net.count_bytes();
    net.run_for(SPAN);
    let seconds = SPAN.as_secs_f64();
    let idle = net.sent.clone();
    let others: u64 = idle.iter().sum::<u64>() - idle[leader];
    let other = others as f64 / (nodes - 1) as f64 / seconds;
    net.count_bytes();
    for _ in 0..SPAN.as_secs() * CHANGES_PER_SECOND {
        net.propose(leader, std::iter::once(vec![7; CHANGE_BYTES]));
        net.run_for(Duration::from_secs(1) / CHANGES_PER_SECOND as u32);
    }
    let changes = (SPAN.as_secs() * CHANGES_PER_SECOND) as f64;
    let more = (net.sent[leader] as f64 - idle[leader] as f64) / changes;
    let own = idle[leader] as f64 / seconds;
    println!("| {nodes} | {voters} | {own:.0} | {other:.0} | {more:.0} |");
}

fn processor(nodes: usize, voters: usize) {
    let mut net = Net::new(nodes, voters, Duration::from_millis(1), 1);
    let start = WallClock::now();
    net.run_for(SPAN);
    let share = start.elapsed().as_secs_f64() / SPAN.as_secs_f64();
    println!("| {nodes} | {share:.5} | {:.1} |", share * 1e6 / nodes as f64);
}

//! Simulated time from the loss of the leader until its successor holds the leader lease.

use super::net::Net;
use std::time::Duration;

/// Number of lost leaders in each measurement.
const LOSSES: u64 = 50;

/// Prints the table.
pub fn run() {
    println!("\n## Failover on simulated time, {LOSSES} losses of the leader");
    println!("| nodes | voters | one way | median ms | longest ms |");
    println!("|---|---|---|---|---|");
    for (nodes, voters, delay) in [(3, 3, 500), (6, 5, 500), (6, 5, 1_500)] {
        let delay = Duration::from_micros(delay);
        let mut times: Vec<u64> =
            (1..=LOSSES).map(|seed| measure(Net::new(nodes, voters, delay, seed))).collect();
        times.sort_unstable();
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!("| {nodes} | {voters} | {delay:?} | {median} | {longest} |");
    }
}

fn measure(mut net: Net) -> u64 {
    let leader = net.leader().expect("a leader is elected");
    net.cores[leader] = None;
    let start = net.now;
    while net.leader().is_none() {
        net.run_for(Duration::from_millis(1));
    }
    (net.now - start).as_millis() as u64
}

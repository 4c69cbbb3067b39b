//! Commits per second by batch size and number of voters, in memory and on disk.

use super::net::{Net, host, peer};
use catkinlatch_base::Instant;
use catkinlatch_log::{Action, Core, Group, Input, Settings, Token, storage::Disk};
use std::time::{Duration, Instant as WallClock};
use tempfile::TempDir;

/// Size of a command in bytes.
const COMMAND_BYTES: usize = 200;

/// Number of commands in each in-memory measurement.
const COMMANDS: usize = 100_000;

/// Number of batches in each measurement on disk.
const DISK_BATCHES: u64 = 200;

/// Prints the tables.
pub fn run() {
    println!("## Processor time of a commit, all voters in one thread, {COMMAND_BYTES} B commands");
    println!("| voters | batch | commits/s | µs a commit and voter |");
    println!("|---|---|---|---|");
    for voters in [1, 3, 5] {
        for batch in [1, 16, 256] {
            in_memory(voters, batch);
        }
    }
    println!("\n## One voter with a disk, each batch synced");
    println!("| batch | commits/s | syncs/s |");
    println!("|---|---|---|");
    for batch in [1, 16, 256] {
        on_disk(batch);
    }
}

fn in_memory(voters: usize, batch: usize) {
    let mut net = Net::new(voters, voters, Duration::from_micros(500), 1);
    let leader = net.leader().expect("a leader is elected");
    let before = net.applied;
    let start = WallClock::now();
    for _ in 0..COMMANDS / batch {
        net.propose(leader, (0..batch).map(|_| vec![7; COMMAND_BYTES]));
        net.run_for(Duration::from_micros(500));
    }
    net.run_for(Duration::from_millis(10));
    let seconds = start.elapsed().as_secs_f64();
    let commits = (net.applied - before) as f64;
    let each = seconds * 1e6 / commits / voters as f64;
    println!("| {voters} | {batch} | {:.0} | {each:.2} |", commits / seconds);
}

fn on_disk(batch: u64) {
    let folder = TempDir::new().expect("a temporary folder");
    let mut random = fastrand::Rng::with_seed(1);
    let cluster: catkinlatch_base::ClusterId = "slopes".parse().expect("a valid id");
    let group = Group::default();
    let opened = Disk::open::<Vec<u8>>(folder.path(), cluster.clone(), group, &mut random)
        .expect("an empty folder opens");
    let mut disk = opened.disk;
    let settings = Settings::new(cluster, vec![host(0)], vec![host(0)]);
    let now = Instant::ZERO;
    let mut core: Core<super::net::Store> = Core::new(settings, peer(0), None, random, now);
    let mut applied = 0;
    let mut syncs = 0;
    let mut drive = |inputs: Vec<Input<Vec<u8>>>| {
        let mut inputs = inputs;
        while !inputs.is_empty() {
            for action in core.step_batch(now, inputs.split_off(0)) {
                match action {
                    Action::Persist(write) => {
                        disk.write(&write).and_then(|()| disk.sync()).expect("the disk works");
                        syncs += 1;
                        inputs.push(Input::Persisted { through: write.number });
                    }
                    Action::Applied { token: Some(_), .. } => applied += 1,
                    _ => {}
                }
            }
        }
    };
    drive(vec![Input::Tick]);
    let start = WallClock::now();
    for number in 0..DISK_BATCHES {
        let command = |at| Input::Propose {
            token: Token::new(number * batch + at),
            command: vec![7; COMMAND_BYTES],
        };
        drive((0..batch).map(command).collect());
    }
    let seconds = start.elapsed().as_secs_f64();
    println!("| {batch} | {:.0} | {:.0} |", applied as f64 / seconds, syncs as f64 / seconds);
}

//! Time to open a voter's files, by number of entries.

use super::net::{Store, host, peer};
use catkinlatch_base::{ClusterId, Instant};
use catkinlatch_log::{Action, Core, Group, Input, Settings, Token, storage::Disk};
use std::{path::Path, time::Instant as WallClock};
use tempfile::TempDir;

/// Size of a command in bytes.
const COMMAND_BYTES: usize = 200;

/// Prints the table.
pub fn run() {
    println!("\n## Restart of a voter, commands of {COMMAND_BYTES} B");
    println!("| entries | without snapshot ms | log bytes | with snapshot ms | log bytes |");
    println!("|---|---|---|---|---|");
    for entries in [1_000, 10_000, 100_000] {
        let (plain, plain_bytes) = measure(entries, u64::MAX);
        let (short, short_bytes) = measure(entries, 1_000);
        println!("| {entries} | {plain:.1} | {plain_bytes} | {short:.1} | {short_bytes} |");
    }
}

fn settings(snapshot_every: u64) -> Settings {
    let cluster = "slopes".parse().expect("a valid id");
    let mut settings = Settings::new(cluster, vec![host(0)], vec![host(0)]);
    settings.snapshot_every = snapshot_every;
    settings
}

fn open(folder: &Path, snapshot_every: u64) -> (Disk, Core<Store>) {
    let mut random = fastrand::Rng::with_seed(1);
    let cluster: ClusterId = "slopes".parse().expect("a valid id");
    let opened = Disk::open(folder, cluster, Group::default(), &mut random).expect("it opens");
    let now = Instant::ZERO;
    let restored = Some(opened.restored);
    let core = Core::new(settings(snapshot_every), peer(0), restored, random, now);
    (opened.disk, core)
}

/// Returns the duration of a restart in milliseconds, and the size of the log in bytes.
fn measure(entries: u64, snapshot_every: u64) -> (f64, u64) {
    let folder = TempDir::new().expect("a temporary folder");
    let (mut disk, mut core) = open(folder.path(), snapshot_every);
    let mut inputs = vec![Input::Tick];
    let mut proposed = 0;
    while !inputs.is_empty() {
        for action in core.step_batch(Instant::ZERO, inputs.split_off(0)) {
            if let Action::Persist(write) = action {
                disk.write(&write).and_then(|()| disk.sync()).expect("the disk works");
                inputs.push(Input::Persisted { through: write.number });
            }
        }
        if core.leading_since().is_some() && proposed < entries {
            let batch = 500.min(entries - proposed);
            proposed += batch;
            let token = Token::new(0);
            let command = vec![7; COMMAND_BYTES];
            let proposal = || Input::Propose { token, command: command.clone() };
            inputs.extend((0..batch).map(|_| proposal()));
        }
    }
    drop((disk, core));
    let bytes = folder.path().join("log").metadata().expect("there is a log").len();
    let start = WallClock::now();
    let opened = open(folder.path(), snapshot_every);
    let millis = start.elapsed().as_secs_f64() * 1e3;
    drop(opened);
    (millis, bytes)
}

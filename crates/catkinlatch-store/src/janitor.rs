//! Drops what need no longer be kept.

use crate::host::Host;
use catkinlatch_ledger::Command;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How often the janitor looks.
const INTERVAL: Duration = Duration::from_millis(500);

/// How many heartbeats a target may miss before it is dropped: its senders know sooner by
/// themselves, and one that is merely cut off from here still serves.
const MISSED_HEARTBEATS: u32 = 12;

/// How much longer than promised the results of a job are kept.
const KEPT_LONGER_MS: u64 = 20_000;

/// Looks for as long as this host leads.
pub async fn run(host: Arc<Host>) {
    let silence = Duration::from_millis(host.settings.times.heartbeat_ms) * MISSED_HEARTBEATS;
    loop {
        time::sleep(INTERVAL).await;
        drop_silent(&host, silence);
        drop_jobs(&host).await;
        host.client.prune();
        host.peers.prune();
    }
}

fn drop_silent(host: &Host, silence: Duration) {
    let now = host.clock.now();
    let (targets, processes) = {
        let mut soft = host.soft();
        let targets = soft.registry.expire(silence, now);
        soft.revision += u64::from(!targets.is_empty());
        (targets, soft.expire(now))
    };
    for target in &targets {
        warn!(target_id:% = target.id; "targets: dropped after long silence");
    }
    for process in &processes {
        warn!(host:% = process; "lead: a process is silent");
    }
    if !targets.is_empty() || !processes.is_empty() {
        host.announce();
    }
}

async fn drop_jobs(host: &Host) {
    let kept = host.settings.times.results_kept_ms() + KEPT_LONGER_MS;
    let wall_ms = host.clock.wall_ms();
    let old = host.replica.read(|state| {
        let records = state.jobs.values();
        let old = records.filter(|record| {
            record.is_done() && wall_ms > record.job.submitted_ms.saturating_add(kept)
        });
        old.map(|record| record.job.id.clone()).collect::<Vec<_>>()
    });
    for job in old {
        info!(job:% = job; "jobs: results are no longer kept");
        let _ = host.replica.propose(Command::Forget { job }).await;
    }
}

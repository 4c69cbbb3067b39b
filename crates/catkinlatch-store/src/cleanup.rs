//! Drops unresponsive targets and processes, and jobs whose retention has expired.

use crate::{host::Host, redundancy};
use catkinlatch_ledger::Command;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Interval between two cleanups.
const INTERVAL: Duration = Duration::from_millis(500);

/// How late a cleanup must run for its delay not to count against those that this host hears.
const MIN_FORGIVEN: Duration = Duration::from_millis(100);

/// How many heartbeats a target may miss before it is dropped.
///
/// The limit is generous because senders detect a failed target earlier themselves, and a target
/// that is only disconnected from this host still serves.
const MAX_MISSED_HEARTBEATS: u32 = 12;

/// Added to the configured retention of job results.
const EXTRA_RETENTION_MS: u64 = 20_000;

/// Cleans up until it is cancelled, when this host stops leading.
pub async fn run(host: Arc<Host>) {
    let timeout = Duration::from_millis(host.settings.times.heartbeat_ms) * MAX_MISSED_HEARTBEATS;
    let mut monitor = redundancy::Monitor::default();
    loop {
        let due = time::Instant::now() + INTERVAL;
        time::sleep_until(due).await;
        let late = due.elapsed();
        if late >= MIN_FORGIVEN {
            warn!(late_ms = late.as_millis() as u64; "lead: too busy to hear others in time");
            host.soft_state().forgive(late);
        }
        drop_unresponsive(&host, timeout);
        for boot in host.update_suspects() {
            info!(boot:% = boot; "suspects: the target is still running");
        }
        drop_expired_jobs(&host).await;
        redundancy::report(&host, &mut monitor);
        host.client.prune();
        host.work_client.prune();
        host.peers.prune();
    }
}

fn drop_unresponsive(host: &Host, timeout: Duration) {
    let now = host.clock.now();
    let (targets, processes) = {
        let mut soft = host.soft_state();
        let targets = soft.registry.expire(timeout, now);
        soft.revision += u64::from(!targets.is_empty());
        (targets, soft.expire(now))
    };
    for target in &targets {
        warn!(target_id:% = target.id; "targets: dropped after missed heartbeats");
    }
    for process in &processes {
        warn!(host:% = process; "lead: a process is silent");
    }
    if !targets.is_empty() || !processes.is_empty() {
        host.publish_soon();
    }
}

async fn drop_expired_jobs(host: &Host) {
    let retention_ms = host.settings.times.results_kept_ms() + EXTRA_RETENTION_MS;
    let wall_ms = host.clock.wall_ms();
    let expired = host.replica.read(|state| {
        let records = state.jobs.values();
        let expired = records.filter(|record| {
            record.is_done() && wall_ms > record.job.submitted_ms.saturating_add(retention_ms)
        });
        expired.map(|record| record.job.id.clone()).collect::<Vec<_>>()
    });
    for job in expired {
        info!(job:% = job; "jobs: dropping a job whose retention has expired");
        let _ = host.replica.propose(Command::Forget { job }).await;
    }
}

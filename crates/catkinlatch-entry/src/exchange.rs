//! The entry host's side of the exchange with the leader about load and targets.

use crate::{admission, host::Host, observation};
use catkinlatch_base::{Instant, Term};
use catkinlatch_runtime::{
    Message, Reply,
    message::{Guidance, Report},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time until the next report if the leader has not said when it is due.
const IDLE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Time until the next report if there was no answer and this host has a share of a service's
/// places, or knows no leader to report to.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of reports in succession that are lost before a host reports less often.
const MAX_LOST: u32 = 10;

/// Shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before a report that a request waits for, so that some requests share one.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// Shortest time until a report that this host has places which it does not need. With 100 ms,
/// requests of other hosts gave up before a single place was free for them.
const SURPLUS_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a report. A report that is lost is not repeated, since the next one replaces it.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Reports to the leader until the process stops.
///
/// A leader of an earlier release does not answer, so a report that is not answered changes nothing
/// about which host is taken for the leader.
pub async fn run(host: Arc<Host>) {
    let mut newest = Term::default();
    let (mut interval, mut lost) = (IDLE_INTERVAL, 0);
    loop {
        match exchange(&host).await {
            Some(guidance) if guidance.term >= newest => {
                (newest, lost) = (guidance.term, 0);
                interval = Duration::from_millis(guidance.interval_ms.into()).max(MIN_INTERVAL);
            }
            None if host.admission.is_divided() || host.leader_client.leader().is_none() => {
                interval = RETRY_INTERVAL;
            }
            // A new leader learns only from reports what the last one knew.
            Some(_) | None if lost < MAX_LOST => lost += 1,
            Some(_) | None => interval = IDLE_INTERVAL,
        }
        tokio::select! {
            () = next_report(&host, interval) => {}
            () = host.allowance.shortage() => time::sleep(SHORTAGE_PAUSE).await,
        }
    }
}

/// Waits until the next report is due: a place that this host no longer needs is reported early.
async fn next_report(host: &Host, interval: Duration) {
    time::sleep(SURPLUS_INTERVAL).await;
    let rest = interval.saturating_sub(SURPLUS_INTERVAL);
    let _ = time::timeout(rest, host.admission.surplus.notified()).await;
}

/// Sends one report and takes over the leader's guidance, which it returns.
///
/// Reports are sent one after the other, and guidance of an earlier term than the newest one is
/// returned without effect.
pub async fn exchange(host: &Arc<Host>) -> Option<Guidance> {
    let mut progress = host.admission.exchange.lock().await;
    let leader = host.leader_client.leader()?;
    let sent_at = host.clock.now();
    progress.sequence = host.clock.wall_ms().max(progress.sequence + 1);
    let message = Message::Exchange(Box::new(report(host, progress.sequence, sent_at)));
    match host.peers.call::<Reply>(&leader, &message, TIMEOUT).await {
        Ok(Reply::Exchanged(guidance)) => {
            if guidance.term >= progress.newest {
                progress.newest = guidance.term;
                adopt(host, &guidance, sent_at);
            }
            Some(*guidance)
        }
        Ok(_) | Err(_) => {
            admission::record_silence(host);
            None
        }
    }
}

/// Takes over the guidance that answers a report sent at `sent_at`.
fn adopt(host: &Arc<Host>, guidance: &Guidance, sent_at: Instant) {
    let (targets, now) = (host.view().targets, host.clock.now());
    host.allowance.accept(guidance, &targets, sent_at, now);
    admission::adopt(host, guidance, sent_at);
    observation::adopt(host, guidance, sent_at);
}

fn report(host: &Host, sequence: u64, now: Instant) -> Report {
    let news = host.guide().take_news(now);
    Report {
        host: host.settings.host.clone(),
        incarnation: host.peers.local().incarnation,
        sequence,
        zone: host.settings.zone.clone(),
        demands: host.admission.demands(now),
        observations: news.observations,
        allowances: host.allowance.report(now),
        durations: news.durations,
    }
}

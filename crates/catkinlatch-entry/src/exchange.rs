//! The entry host's side of the exchange with the leader about load and targets.

use crate::{admission, host::Host};
use catkinlatch_base::Term;
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
    let mut sequence = 0;
    loop {
        let turn = host.admission.exchange.lock().await;
        let sent_at = host.clock.now();
        sequence = host.clock.wall_ms().max(sequence + 1);
        let answer = exchange(&host, sequence).await;
        let interval = match answer {
            Some(guidance) if guidance.term >= newest => {
                newest = guidance.term;
                let (targets, now) = (host.view().targets, host.clock.now());
                host.cold.accept(&guidance, &targets, sent_at, now);
                admission::adopt(&host, &guidance, sent_at);
                Duration::from_millis(guidance.interval_ms.into()).max(MIN_INTERVAL)
            }
            Some(_) => IDLE_INTERVAL,
            None => {
                admission::record_silence(&host);
                let waits = host.admission.is_divided() || host.leader_client.leader().is_none();
                if waits { RETRY_INTERVAL } else { IDLE_INTERVAL }
            }
        };
        drop(turn);
        tokio::select! {
            () = next_report(&host, interval) => {}
            () = host.cold.shortage() => time::sleep(SHORTAGE_PAUSE).await,
        }
    }
}

/// Waits until the next report is due: a place that this host no longer needs is reported early.
async fn next_report(host: &Host, interval: Duration) {
    time::sleep(SURPLUS_INTERVAL).await;
    let rest = interval.saturating_sub(SURPLUS_INTERVAL);
    let _ = time::timeout(rest, host.admission.surplus.notified()).await;
}

/// Sends one report; returns the leader's guidance.
async fn exchange(host: &Host, sequence: u64) -> Option<Guidance> {
    let leader = host.leader_client.leader()?;
    let message = Message::Exchange(Box::new(report(host, sequence)));
    match host.peers.call::<Reply>(&leader, &message, TIMEOUT).await {
        Ok(Reply::Exchanged(guidance)) => Some(*guidance),
        Ok(_) | Err(_) => None,
    }
}

fn report(host: &Host, sequence: u64) -> Report {
    Report {
        host: host.settings.host.clone(),
        incarnation: host.peers.local().incarnation,
        sequence,
        zone: host.settings.zone.clone(),
        demands: host.admission.demands(host.clock.now()),
        observations: Vec::new(),
        cold: host.cold.report(host.clock.now()),
    }
}

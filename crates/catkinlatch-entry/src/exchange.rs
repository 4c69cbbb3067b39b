//! The entry host's side of the exchange with the leader about load and targets.

use crate::host::Host;
use catkinlatch_base::Term;
use catkinlatch_runtime::{
    Message, Reply,
    message::{Guidance, Report},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time until the next report if the leader has not said when it is due.
const IDLE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before a report that a request waits for, so that some requests share one.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// Timeout of a report. A report that is lost is not repeated, since the next one replaces it.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Reports to the leader until the process stops.
///
/// A leader of an earlier release does not answer, so a report that is not answered changes nothing
/// about which host is taken for the leader.
pub async fn run(host: Arc<Host>) {
    let mut newest = Term::default();
    loop {
        let sent = host.clock.now();
        let interval = match exchange(&host).await {
            Some(guidance) if guidance.term >= newest => {
                newest = guidance.term;
                let (targets, now) = (host.view().targets, host.clock.now());
                host.cold.accept(&guidance, &targets, sent, now);
                Duration::from_millis(guidance.interval_ms.into()).max(MIN_INTERVAL)
            }
            Some(_) | None => IDLE_INTERVAL,
        };
        tokio::select! {
            () = time::sleep(interval) => {}
            () = host.cold.shortage() => time::sleep(SHORTAGE_PAUSE).await,
        }
    }
}

/// Sends one report; returns the leader's guidance.
async fn exchange(host: &Host) -> Option<Guidance> {
    let leader = host.leader_client.leader()?;
    let message = Message::Exchange(Box::new(report(host)));
    match host.peers.call::<Reply>(&leader, &message, TIMEOUT).await {
        Ok(Reply::Exchanged(guidance)) => Some(*guidance),
        Ok(_) | Err(_) => None,
    }
}

fn report(host: &Host) -> Report {
    Report {
        host: host.settings.host.clone(),
        incarnation: host.peers.local().incarnation,
        zone: host.settings.zone.clone(),
        demands: Vec::new(),
        observations: Vec::new(),
        cold: host.cold.report(host.clock.now()),
    }
}

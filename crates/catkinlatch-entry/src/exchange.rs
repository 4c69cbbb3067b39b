//! The entry host's side of the exchange with the leader about load and targets.

use crate::{host::Host, observation};
use catkinlatch_base::{Instant, Term};
use catkinlatch_runtime::{
    Message, Reply,
    message::{Guidance, Report},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time until the next report if the leader has not said when it is due.
const IDLE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Number of reports in succession that are lost before a host reports less often.
const MAX_LOST: u32 = 10;

/// Shortest time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

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
            // A new leader learns only from reports what the last one knew.
            Some(_) | None if lost < MAX_LOST => lost += 1,
            Some(_) | None => interval = IDLE_INTERVAL,
        }
        time::sleep(interval).await;
    }
}

/// Sends one report and takes over the leader's guidance, which it returns.
pub async fn exchange(host: &Host) -> Option<Guidance> {
    let leader = host.leader_client.leader()?;
    let sent_at = host.clock.now();
    let message = Message::Exchange(Box::new(report(host, sent_at)));
    match host.peers.call::<Reply>(&leader, &message, TIMEOUT).await {
        Ok(Reply::Exchanged(guidance)) => {
            observation::adopt(host, &guidance, sent_at);
            Some(*guidance)
        }
        Ok(_) | Err(_) => None,
    }
}

fn report(host: &Host, now: Instant) -> Report {
    let news = host.guide().take_news(now);
    Report {
        host: host.settings.host.clone(),
        incarnation: host.peers.local().incarnation,
        zone: host.settings.zone.clone(),
        demands: Vec::new(),
        observations: news.observations,
        sequence: news.sequence,
        durations: news.durations,
    }
}

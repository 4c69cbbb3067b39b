//! This host's part in sharing what senders learn of targets.
//!
//! Without guidance of the leader that says otherwise, targets are selected by what this host has
//! observed itself.

use crate::{exchange, front::InboundRequest, host::Host};
use catkinlatch_base::{Instant, ServiceId, TargetId};
use catkinlatch_ledger::{
    Target,
    balancer::Verdict,
    config::Route,
    observation::{Digest, Event, Load, Selection, select},
};
use catkinlatch_platform::header;
use catkinlatch_runtime::{Message, Reply, message::Guidance};
use log::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time;

/// How long a request waits for fresh guidance before its target is selected: a few times what a
/// call to the leader takes, and little of the latency objectives, which are hundreds of ms.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(15);

/// How long a request waits for the leader's permission to retry a target in cooldown.
const RETRY_TIMEOUT: Duration = Duration::from_millis(25);

/// Takes over the guidance that answers a report sent at `sent_at`.
pub fn adopt(host: &Host, guidance: &Guidance, sent_at: Instant) {
    let digest = Digest {
        observations: guidance.observations.clone(),
        cooldowns: guidance.cooldowns.clone(),
        scopes: guidance.scopes.clone(),
        refresh_ms: guidance.refresh_ms,
    };
    let lease = Duration::from_millis(guidance.lease_ms.into());
    let services = digest.scopes.len();
    let mut guide = host.guide();
    let balancer = host.balancer();
    let running = |target: &TargetId| balancer.running(target);
    let was_on = guide.services();
    guide.adopt(guidance.term, (sent_at, lease), digest, running, host.clock.now());
    if was_on != services {
        info!(services = services; "entry: selects targets by what all hosts observe");
    }
}

/// Sends a report ahead of time before a target is selected for a request of this route, if the
/// part is on and the last report is not recent; waits for the guidance for a short time.
pub async fn refresh(host: &Arc<Host>, route: &Route) {
    if route.shares.iter().any(|share| is_refresh_due(host, &share.service)) {
        let host = host.clone();
        let exchange = tokio::spawn(async move { exchange::exchange(&host).await });
        let _ = time::timeout(REFRESH_TIMEOUT, exchange).await;
    }
}

fn is_refresh_due(host: &Host, service: &ServiceId) -> bool {
    host.guide().is_refresh_due(service, host.clock.now())
}

/// Returns the target for a request of a service, leaving out those that are `tried`.
pub fn pick<'a>(
    host: &Host,
    service: &ServiceId,
    targets: impl Iterator<Item = &'a Target>,
    tried: &BTreeSet<TargetId>,
    now: Instant,
) -> Option<Target> {
    let (zone, guide) = (&host.settings.zone, host.guide());
    let balancer = host.balancer();
    if !guide.is_on(service, now) {
        return balancer.pick(targets, zone, tried, now).cloned();
    }
    let random = fastrand::f64();
    let selection =
        Selection { table: guide.table(), balancer: &balancer, zone, tried, now, random };
    select(&selection, targets, |target| guide.is_in_cooldown(target)).cloned()
}

/// Returns a target in cooldown that the leader lets this host retry with a request, if there is
/// one and the request may be repeated.
pub async fn request_retry(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
) -> Option<Target> {
    let target = open_target(host, inbound, tried)?;
    let leader = host.leader_client.leader()?;
    let message =
        Message::RequestRetry { host: host.settings.host.clone(), target: target.id.clone() };
    match host.peers.call::<Reply>(&leader, &message, RETRY_TIMEOUT).await {
        Ok(Reply::Retry(true)) => {
            info!(
                request = inbound.id().unwrap_or_default(), target_id:% = target.id;
                "entry: retries a target in cooldown"
            );
            Some(target)
        }
        Ok(_) | Err(_) => None,
    }
}

fn open_target(
    host: &Host,
    inbound: &InboundRequest,
    tried: &BTreeSet<TargetId>,
) -> Option<Target> {
    if !inbound.route.may_repeat() {
        return None;
    }
    let now = host.clock.now();
    if !inbound.route.shares.iter().any(|share| host.guide().is_on(&share.service, now)) {
        return None;
    }
    let (view, leaving) = (host.view(), host.leaving());
    let guide = host.guide();
    let mut services = inbound.route.shares.iter().filter(|share| guide.is_on(&share.service, now));
    services.find_map(|share| {
        let usable = view.targets(&share.service).filter(|target| {
            target.is_ready() && !leaving.contains(target) && !tried.contains(&target.id)
        });
        guide.open(usable).cloned()
    })
}

/// Records the load that a target stated.
pub fn record_load(host: &Host, target: &Target, load: header::Load) {
    let load = Load { running: load.running, waiting: load.waiting, pace: load.pace };
    let mut guide = host.guide();
    let own = host.balancer().running(&target.id);
    guide.record_load((&target.id, target.born_ms), load, own, host.clock.now());
}

/// Records how an attempt ended: as `event` says, or else as its verdict does.
pub fn record(host: &Host, target: &Target, verdict: Verdict, event: Option<Event>) {
    let event = event.or(match verdict {
        Verdict::Answered(_) => Some(Event::Answered),
        Verdict::Full => Some(Event::Refused),
        Verdict::Failed => Some(Event::Failed),
        Verdict::Unknown => None,
    });
    if let Some(event) = event {
        host.guide().record((&target.id, target.born_ms), event, host.clock.now());
    }
}

/// Records how long an answered request took, and reports it ahead of time if the last report is
/// not recent.
pub fn record_duration(host: &Arc<Host>, target: &Target, took: Duration) {
    host.guide().record_duration(&target.service, took);
    if is_refresh_due(host, &target.service) {
        let host = host.clone();
        tokio::spawn(async move { exchange::exchange(&host).await });
    }
}

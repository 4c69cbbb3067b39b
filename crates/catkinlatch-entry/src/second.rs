//! Sends a late request once more, to another target.

use crate::{
    attempt::{self, Outcome},
    front::InboundRequest,
    host::Host,
    proxy,
    stream::Attempts,
    suspect::{Permit, State},
};
use catkinlatch_base::Ratio;
use catkinlatch_ledger::{
    Target,
    observation::{Event, Selection, free_share},
};
use http::StatusCode;
use log::info;
use std::{pin::pin, sync::Arc, time::Duration};
use tokio::time;

/// The most second sends per request, beside the reserve of the budget.
pub const SHARE: Ratio = Ratio::new(0.05);

/// The share of a target's slots that must be free for a second send.
const MIN_FREE_SHARE: f64 = 0.5;

/// The end of an attempt that may have been made on two targets.
pub struct Sent {
    /// The target that the outcome is of.
    pub target: Target,
    /// The outcome that decides.
    pub outcome: Outcome,
    /// The other target and its outcome, if it ended without a good response; it is recorded.
    pub other: Option<(Target, Outcome)>,
}

/// Sends a request to a target; sends it to another one as well if it is late and that is allowed.
///
/// The first good response wins; the other request is cancelled by closing its connection.
pub async fn send(
    host: &Arc<Host>,
    inbound: &InboundRequest,
    target: &Target,
    attempts: &Attempts,
    limit: Duration,
) -> Sent {
    let run = async |target: &Target| {
        let left = attempts.deadline - host.clock.now();
        let limit = limit.min(left);
        attempt::send(host, inbound, target, left, limit).await
    };
    let started = host.clock.now();
    let mut first = pin!(run(target));
    let Some(late_after) = late_after(host, inbound, target, attempts) else {
        return Sent { target: target.clone(), outcome: first.await, other: None };
    };
    if let Ok(outcome) = time::timeout(late_after, &mut first).await {
        return Sent { target: target.clone(), outcome, other: None };
    }
    let Some(second_target) = second_target(host, inbound, target, attempts) else {
        return Sent { target: target.clone(), outcome: first.await, other: None };
    };
    metrics::counter!("catkinlatch_entry_second_sends").increment(1);
    info!(
        request = inbound.id().unwrap_or_default(), target_id:% = target.id,
        second:% = second_target.id, late_ms = late_after.as_millis() as u64;
        "entry: late, sent a second time"
    );
    let mut second = pin!(run(&second_target));
    let (outcome, is_first) = tokio::select! {
        outcome = &mut first => (outcome, true),
        outcome = &mut second => (outcome, false),
    };
    let (ended, remaining) =
        if is_first { (target, &second_target) } else { (&second_target, target) };
    if is_good(&outcome) {
        if !is_first {
            metrics::counter!("catkinlatch_entry_second_sends_won").increment(1);
            let now = host.clock.now();
            let mut guide = host.guide();
            if guide.is_silence(&target.service, now - started, now) {
                guide.record((&target.id, target.born_ms), Event::Silent, now);
            }
        }
        return Sent { target: ended.clone(), outcome, other: None };
    }
    proxy::record(host, inbound, ended, Permit::Plain, &outcome).await;
    let other = Some((ended.clone(), outcome));
    let outcome = if is_first { second.await } else { first.await };
    Sent { target: remaining.clone(), outcome, other }
}

/// Returns the time after which the request is late, or `None` if it may not be sent twice.
fn late_after(
    host: &Host,
    inbound: &InboundRequest,
    target: &Target,
    attempts: &Attempts,
) -> Option<Duration> {
    let now = host.clock.now();
    let is_on = host.guide().is_on(&target.service, now);
    if !is_on || !inbound.route.may_repeat() {
        return None;
    }
    if attempts.sends == 1 {
        host.second_budget().earn(now);
    }
    let objective = Duration::from_millis(inbound.route.objective_ms?);
    let may_send = !attempts.is_trial && attempts.sends < inbound.route.max_attempts;
    let late_after = host.guide().late_after(&target.service, objective, now);
    late_after.filter(|_| may_send)
}

/// Returns the target of a second send, which is taken from the budget, or `None` if there is none.
fn second_target(
    host: &Host,
    inbound: &InboundRequest,
    first: &Target,
    attempts: &Attempts,
) -> Option<Target> {
    let now = host.clock.now();
    if attempts.deadline - now < proxy::MIN_ATTEMPT_TIME || is_suspect(host, inbound) {
        return None;
    }
    let mut tried = attempts.tried.clone();
    tried.insert(first.id.clone());
    let target = proxy::pick_target(host, inbound, &tried, now)?;
    if host.suspects().trial_targets(host.clock.wall_ms()).contains(&target.id) {
        return None;
    }
    let is_free = {
        let (guide, zone) = (host.guide(), &host.settings.zone);
        let balancer = host.balancer();
        let (table, tried) = (guide.table(), &tried);
        let selection = Selection { table, balancer: &balancer, zone, tried, now, random: 0.0 };
        guide.is_on(&target.service, now)
            && !guide.is_in_cooldown(&target)
            && !balancer.is_backing_off(&target.id, now)
            && free_share(&selection, &target) > MIN_FREE_SHARE
    };
    (is_free && host.second_budget().take(now)).then_some(target)
}

/// Returns whether the request may crash targets; it then never runs on two at once.
fn is_suspect(host: &Host, inbound: &InboundRequest) -> bool {
    let suspects = host.suspects();
    !suspects.is_empty() && !matches!(suspects.state(&inbound.fingerprint()), State::Unknown)
}

/// Returns whether an outcome ends the request: an answer other than the target's own failure.
fn is_good(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(answer)
        if answer.status() != StatusCode::INTERNAL_SERVER_ERROR)
}

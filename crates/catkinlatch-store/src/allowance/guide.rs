//! What the leader tells entry hosts of limited targets, and learns from them.

use super::{Holder, Table, observe, publish_change};
use crate::{exchange, host::Host};
use catkinlatch_base::{Instant, TargetId, Term};
use catkinlatch_ledger::{
    Target,
    allowance::{self, Bound},
};
use catkinlatch_route::allowance::{Asked, Statement};
use catkinlatch_runtime::message::{AllowanceDemand, AllowanceShare, Guidance, Report, Stated};
use std::time::Duration;

/// Interval of reports while a target is limited, in milliseconds.
const BUSY_INTERVAL_MS: u32 = 500;

/// The most limited targets that an answer names.
const MAX_SHARES: usize = 64;

/// Takes over what a host states of limited bounds.
fn adopt(host: &Host, demand: &AllowanceDemand) {
    let target = host.soft_state().registry.target(&demand.target).cloned();
    let Some(target) = target.filter(|target| target.born_ms == demand.born_ms) else { return };
    observe(host, &target, Duration::from_millis(demand.cold_ms.into()));
    let Some(Stated { rate, age_ms }) = demand.stated else { return };
    let age = Duration::from_millis(age_ms.into()).as_nanos() as u64;
    let at = Instant::from_nanos(host.clock.now().as_nanos().saturating_sub(age));
    let start = allowance::start(&target);
    let change = host.allowance.lock().bounds.adopt(&start, Statement { rate, at });
    publish_change(host, &start, change);
}

/// Adds to the answer to a report which targets are limited, and the shares of them that the
/// reporting host gets.
pub fn guide(host: &Host, term: Term, report: &Report, guidance: &mut Guidance) {
    report.allowances.iter().for_each(|demand| adopt(host, demand));
    let now = host.clock.now();
    let soft = host.soft_state();
    let find = |demand: &AllowanceDemand| {
        let target = soft.registry.target(&demand.target);
        target.filter(|target| target.born_ms == demand.born_ms)
    };
    let mut table = host.allowance.lock();
    let Table { bounds, division, term: own_term, .. } = &mut *table;
    if *own_term != Some(term) || (report.allowances.is_empty() && bounds.is_free()) {
        return;
    }
    let find_id = |id: &TargetId| soft.registry.target(id);
    bounds.expire(find_id, now);
    division.expire(now);
    let limited: Vec<&Target> = bounds.limited(find_id, now).take(MAX_SHARES).collect();
    metrics::gauge!("catkinlatch_cold_targets").set(limited.len() as f64);
    if !limited.is_empty() {
        guidance.interval_ms = guidance.interval_ms.min(BUSY_INTERVAL_MS);
    }
    let holder: Holder = (report.host.clone(), report.incarnation);
    let without_share = |target: &Target| {
        let (id, born_ms) = allowance::start(target);
        let cold_ms = bounds.left(target, now).as_millis() as u32;
        let rate = bounds.rate(target);
        AllowanceShare { target: id, born_ms, share: 0, span_ms: 0, cold_ms, rate }
    };
    let mut grant = |target: &Target, demand: &AllowanceDemand, wanted: u32| {
        let mut share = without_share(target);
        let Bound::Limited { limit, factor } = bounds.bound(target, now) else { return share };
        let idle = Duration::from_millis(demand.idle_ms.into());
        let asked = Asked { number: demand.number, wanted, used: demand.used, idle };
        let (start, bound) = (allowance::start(target), (limit, factor));
        share.share = division.grant(&start, &holder, asked, bound, exchange::LEASE, now);
        share.span_ms = limit.span.as_millis() as u32 + 1;
        share
    };
    for demand in &report.allowances {
        let Some(target) = find(demand) else { continue };
        let share = grant(target, demand, demand.wanted);
        let is_refused = share.share == 0 && demand.wanted > 0;
        guidance.allowances.push(share);
        if is_refused {
            // Another target of the service may have allowance left.
            let others = limited.iter().filter(|other| {
                other.service == target.service
                    && report.allowances.iter().all(|d| d.target != other.id)
            });
            let demand = AllowanceDemand { used: 0, idle_ms: 0, ..demand.clone() };
            let mut shares = others.map(|other| grant(other, &demand, 1));
            guidance.allowances.extend(shares.find(|share| share.share > 0));
        }
    }
    let reserved: u32 =
        limited.iter().map(|target| division.reserved(&allowance::start(target), now)).sum();
    metrics::gauge!("catkinlatch_cold_shares").set(f64::from(reserved));
    for target in limited {
        if guidance.allowances.len() < MAX_SHARES
            && guidance.allowances.iter().all(|share| share.target != target.id)
        {
            guidance.allowances.push(without_share(target));
        }
    }
}

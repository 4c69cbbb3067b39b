//! What this host tells the leader of limited targets, and takes over from it.

use super::{Allowance, log_change};
use catkinlatch_base::Instant;
use catkinlatch_ledger::{
    Target,
    allowance::{self, Start},
};
use catkinlatch_route::allowance::{Demand, Statement};
use catkinlatch_runtime::message::{AllowanceDemand, Guidance, Stated};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

/// Largest number of targets in a report.
const MAX_DEMANDS: usize = 64;

impl Allowance {
    /// Returns what to tell the leader about limited targets, in a report that is sent now.
    ///
    /// It contains all statements about rates, since a new leader may know none.
    pub fn report(&self, now: Instant) -> Vec<AllowanceDemand> {
        let mut table = self.lock();
        if !self.is_on() && table.bounds.is_free() {
            return Vec::new();
        }
        table.reports += 1;
        let number = table.reports;
        let demands = table.holder.take_demands(now);
        let found = mem::take(&mut table.found);
        let stated: BTreeMap<Start, Stated> = table
            .bounds
            .statements()
            .map(|(start, Statement { rate, at })| {
                (start.clone(), Stated { rate, age_ms: millis(now - at) })
            })
            .collect();
        let idle = |start: &Start| Demand {
            start: start.clone(),
            wanted: 0,
            used: 0,
            idle: Duration::ZERO,
        };
        let asked: BTreeSet<Start> = demands.iter().map(|demand| demand.start.clone()).collect();
        let limited = stated.iter().filter(|(_, stated)| stated.rate.is_some());
        let others: BTreeSet<&Start> = limited.map(|(start, _)| start).chain(&found).collect();
        let others = others.into_iter().filter(|start| !asked.contains(start)).map(idle);
        let demand = |demand: Demand<Start>| AllowanceDemand {
            number,
            cold_ms: millis(table.bounds.left_of(&demand.start, now)),
            stated: stated.get(&demand.start).copied(),
            target: demand.start.0,
            born_ms: demand.start.1,
            wanted: demand.wanted,
            used: demand.used,
            idle_ms: millis(demand.idle),
        };
        demands.into_iter().chain(others).map(demand).take(MAX_DEMANDS).collect()
    }

    /// Takes over the shares that the leader has granted in answer to a report sent at `sent`, and what
    /// it knows of the targets.
    pub fn accept(&self, guidance: &Guidance, targets: &[Target], sent: Instant, now: Instant) {
        let until = sent + Duration::from_millis(guidance.lease_ms.into());
        let mut table = self.lock();
        table.holder.record_leader();
        for share in &guidance.allowances {
            let start = (share.target.clone(), share.born_ms);
            let target = targets.iter().find(|target| allowance::start(target) == start);
            if let Some(target) = target {
                if self.is_on() {
                    let left = Duration::from_millis(share.cold_ms.into());
                    table.bounds.observe(target, left, now);
                }
                let statement = Statement { rate: share.rate, at: sent };
                log_change(&start, table.bounds.adopt(&start, statement));
            }
            if share.share > 0 {
                let span = Duration::from_millis(share.span_ms.into());
                table.holder.accept(&start, share.share, span, until);
            }
        }
        metrics::gauge!("catkinlatch_entry_cold_shares").set(f64::from(table.holder.shares(now)));
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

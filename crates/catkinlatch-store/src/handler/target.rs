//! Handles the registrations and withdrawals of targets.

use super::propagation::{await_propagation_to_most, leads};
use crate::{allowance, host::Host};
use catkinlatch_base::{TargetId, Term};
use catkinlatch_ledger::{
    State, Target,
    registry::{Change, Reason, Withdrawn},
};
use catkinlatch_runtime::Reply;
use log::{info, warn};
use std::{sync::Arc, time::Duration};

/// Records a registration; one that ends the target's readiness is answered once entry hosts know.
pub async fn register(host: &Arc<Host>, term: Term, target: Target) -> Reply {
    // A host of an earlier release passes on what it does not check.
    if let Err(flaw) = target.check(host.clock.wall_ms()) {
        warn!(target_id:% = target.id, reason:% = flaw; "targets: refused a registration");
        return Reply::NotFound;
    }
    let (id, is_ready) = (target.id.clone(), target.is_ready());
    let (sequence, born_ms) = (target.sequence, target.born_ms);
    let stated = (target.cold_ms > 0).then(|| target.clone());
    let is_renewal = {
        let soft = host.soft_state();
        soft.registry.registered(&target).is_some_and(|current| current.may_become(&target))
    };
    let services = if is_renewal { None } else { host.replica.read(State::services) };
    let change = {
        let mut soft = host.soft_state();
        let is_admitted = services.is_none_or(|services| soft.registry.admit(&target, &services));
        let change = if is_admitted {
            soft.registry.register(target, host.clock.now())
        } else {
            Change::Outdated(Reason::Foreign)
        };
        soft.revision += u64::from(change == Change::Changed);
        change
    };
    if let Some(target) = stated.filter(|_| !matches!(change, Change::Outdated(_))) {
        allowance::observe(host, &target, Duration::from_millis(target.cold_ms));
    }
    match change {
        Change::Changed => {
            if is_ready {
                host.publish_soon();
            } else {
                host.publish_revision();
            }
            info!(
                target_id:% = id, ready = is_ready, born_ms = born_ms, sequence = sequence;
                "targets: registered"
            );
        }
        Change::Outdated(reason) => {
            let labels = [("reason", reason.to_string())];
            metrics::counter!("catkinlatch_registrations_ignored", &labels).increment(1);
            info!(
                target_id:% = id, ready = is_ready, born_ms = born_ms, sequence = sequence,
                reason:% = reason;
                "targets: ignored an outdated registration"
            );
        }
        Change::Renewed => {}
    }
    if !is_ready {
        let is_propagated = await_propagation_to_most(host, term).await;
        if !is_propagated && !leads(host, term) {
            return Reply::NotLeader(host.other_leader());
        }
        if change == Change::Changed {
            info!(target_id:% = id, held_by_all = is_propagated; "targets: no longer ready");
        }
    }
    Reply::Done
}

/// Withdraws the start `born_ms` of a target, or the one that is known if the target names none;
/// answers once entry hosts know.
pub async fn withdraw(host: &Arc<Host>, term: Term, id: &TargetId, born_ms: Option<u64>) -> Reply {
    let withdrawn = {
        let mut soft = host.soft_state();
        let withdrawn = soft.registry.withdraw(id, born_ms, host.clock.now());
        soft.revision += 1;
        withdrawn
    };
    host.publish_revision();
    let is_propagated = await_propagation_to_most(host, term).await;
    if !is_propagated && !leads(host, term) {
        // The next leader may not know of the withdrawal.
        return Reply::NotLeader(host.other_leader());
    }
    let registered_ms = match &withdrawn {
        Withdrawn::Removed(target) => Some(target.born_ms),
        Withdrawn::Late(registered_ms) => Some(*registered_ms),
        Withdrawn::Absent => None,
    };
    let event = match &withdrawn {
        Withdrawn::Late(_) => "targets: ignored the withdrawal of an earlier start",
        Withdrawn::Removed(_) | Withdrawn::Absent => "targets: withdrawn",
    };
    info!(
        target_id:% = id, born_ms = born_ms, registered_ms = registered_ms,
        held_by_all = is_propagated;
        "{event}"
    );
    Reply::Done
}

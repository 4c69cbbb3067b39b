//! Runs the duties of the leader: batch jobs, weight loads, usage reports and cleanup.

use crate::{cleanup, evacuation, host::Host, runner::Runner, usage, weights};
use catkinlatch_base::Term;
use log::info;
use std::sync::Arc;
use tokio::{task::JoinSet, time};

/// Interval at which a host checks whether it holds a valid leader lease.
const POLL: time::Duration = time::Duration::from_millis(20);

/// Runs the duties whenever this host leads, and cancels them when it stops leading.
pub async fn run(host: Arc<Host>) {
    let mut status = host.replica.status();
    loop {
        let term = await_term(&host).await;
        info!(term = term.get(); "lead: took over the duties");
        evacuation::apply(&host);
        host.soft_state().reset_timeouts(host.clock.now());
        host.suspects.lock().watch_all(host.clock.now());
        host.allowance.begin_term(term, host.clock.now());
        let mut duties = JoinSet::new();
        duties.spawn(Runner::new(host.clone()).run());
        duties.spawn(weights::run(host.clone(), term));
        duties.spawn(usage::run(host.clone(), term));
        duties.spawn(cleanup::run(host.clone()));
        let _ = status.wait_for(|status| !status.is_leader() || status.term != term).await;
        duties.shutdown().await;
        info!(term = term.get(); "lead: gave up the duties");
    }
}

/// Waits until this host holds a valid leader lease; returns its term.
async fn await_term(host: &Host) -> Term {
    loop {
        if let Some(term) = host.replica.fencing_token() {
            return term;
        }
        time::sleep(POLL).await;
    }
}

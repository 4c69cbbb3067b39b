//! Carries out the duties of the host that leads, for as long as it does.

use crate::{host::Host, janitor, runner::Runner, usage, weights};
use catkinlatch_base::Term;
use log::info;
use std::sync::Arc;
use tokio::{task::JoinSet, time};

/// How often a new leader looks whether it can be sure to lead.
const POLL: time::Duration = time::Duration::from_millis(20);

/// Waits for leaderships and carries out their duties, for as long as the process runs.
pub async fn run(host: Arc<Host>) {
    let mut status = host.replica.status();
    loop {
        let term = await_term(&host).await;
        info!(term = term.get(); "lead: took over the duties");
        host.soft().refresh(host.clock.now());
        let mut duties = JoinSet::new();
        duties.spawn(Runner::new(host.clone()).run());
        duties.spawn(weights::run(host.clone(), term));
        duties.spawn(usage::run(host.clone(), term));
        duties.spawn(janitor::run(host.clone()));
        let _ = status.wait_for(|status| !status.leads() || status.term != term).await;
        duties.shutdown().await;
        info!(term = term.get(); "lead: gave up the duties");
    }
}

/// Waits until this host can be sure to lead.
async fn await_term(host: &Host) -> Term {
    loop {
        if let Some(term) = host.replica.fencing() {
            return term;
        }
        time::sleep(POLL).await;
    }
}

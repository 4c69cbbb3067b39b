//! Waits until entry hosts hold a change.

use crate::host::Host;
use catkinlatch_base::Term;
use catkinlatch_runtime::message::ViewVersion;
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// How long the call of a target waits for entry hosts: targets take another host after 1 s.
const TARGET_CALL_WAIT: Duration = Duration::from_millis(600);

/// Pause between two looks at what entry hosts hold.
const INTERVAL: Duration = Duration::from_millis(5);

/// Waits until all entry hosts in touch hold the current view and this version of the
/// configuration; returns false if one of them still polls without it at the end of
/// [`Waits::propagation`](catkinlatch_runtime::settings::Waits::propagation).
///
/// A host that is silent is waited for until it counts as out of touch. A leader without a view of
/// its predecessor does not know which hosts are in touch, so it waits until they have noticed that
/// their last poll remains without an answer. Returns false at once if this host no longer leads
/// the term; only the next leader can tell then what hosts hold.
pub async fn await_propagation(host: &Arc<Host>, term: Term, version: Option<u64>) -> bool {
    let waits = host.settings.times.waits();
    let until = Instant::now() + waits.propagation;
    if !host.soft_state().has_followers() {
        let since_election = host.replica.time_since_election().unwrap_or_default();
        time::sleep((waits.poll + waits.silence).saturating_sub(since_election)).await;
    }
    await_until(host, term, version, until).await
}

/// Waits until entry hosts in touch hold the current view, for the time that a target's call allows.
pub async fn await_propagation_to_most(host: &Arc<Host>, term: Term) -> bool {
    await_until(host, term, None, Instant::now() + TARGET_CALL_WAIT).await
}

async fn await_until(host: &Arc<Host>, term: Term, version: Option<u64>, until: Instant) -> bool {
    let revision = host.soft_state().revision;
    let mut poll = time::interval(INTERVAL);
    while Instant::now() < until && leads(host, term) {
        if host.soft_state().is_propagated(ViewVersion { term, revision }, version) {
            return true;
        }
        poll.tick().await;
    }
    false
}

/// Returns whether this host still leads the term.
pub fn leads(host: &Host, term: Term) -> bool {
    host.replica.fencing_token() == Some(term)
}

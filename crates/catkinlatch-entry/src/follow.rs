//! Long polling of the leader for its current view.

use crate::{host::Host, leaving};
use catkinlatch_ledger::registry::evacuated_zones;
use catkinlatch_runtime::{
    Answer, Message, Reply,
    message::{Entry, Follow, Role, ViewVersion},
};
use log::info;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::time;

/// Timeout for one poll, including retries with other hosts.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Pause between polls while there is no leader.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Polls the leader until the process stops, and updates the shared view from its answers.
pub async fn run(host: Arc<Host>) {
    let mut view_version = ViewVersion::default();
    let waits = host.settings.times.waits();
    loop {
        let is_draining = host.is_draining();
        let began = host.clock.now();
        let wait = if host.is_view_confirmed() { waits.poll } else { Duration::ZERO };
        let follow = |wait| Message::Follow(follow_message(&host, view_version, wait));
        let (message, probe) = (follow(wait), follow(Duration::ZERO));
        let pending = host.leader_client.poll(&message, &probe, &waits, POLL_TIMEOUT);
        let answer = tokio::select! {
            answer = pending => answer,
            // Polls again at once so that the leader learns that this host is draining.
            () = host.drain_begun(), if !is_draining => continue,
            () = host.resumed() => continue,
            () = host.refresh_needed(), if !wait.is_zero() => continue,
        };
        let is_answered = matches!(answer, Answer::Reply(Reply::Followed(_) | Reply::Nothing));
        if is_answered {
            host.contact().record_leader(host.clock.now());
        }
        match answer {
            Answer::Reply(Reply::Followed(view)) => {
                let before = host.view().version();
                host.allowance.observe_view(&view.targets, host.clock.now());
                host.builds().observe(view.targets.iter(), host.clock.now());
                host.view_mut().update(&view);
                host.ramp().observe(&evacuated_zones(view.targets.iter()), host.clock.now());
                host.leader_client.set_hosts(&view.stores);
                let known: BTreeSet<_> = view.targets.iter().map(|t| t.id.clone()).collect();
                host.balancer().retain(&known);
                host.guide().retain(|target| known.contains(target));
                leaving::observe_view(&host, &view);
                let version = host.view().version();
                if version != before {
                    if let Some(configuration) = &host.view().configuration {
                        host.inbound.configure(&configuration.limits);
                    }
                    info!(version = version.unwrap_or_default(); "entry: configuration in force");
                }
                view_version = view.view_version;
            }
            Answer::Reply(Reply::Nothing) => host.builds().confirm(host.clock.now()),
            Answer::Reply(_) | Answer::NotDone | Answer::Unknown => {
                info!("entry: no leader answered; continuing with the last known view");
                time::sleep(RETRY_PAUSE).await;
            }
        }
        if is_answered {
            host.record_poll(began);
        }
        host.client.prune();
        host.peers.prune();
    }
}

fn follow_message(host: &Host, view_version: ViewVersion, wait: Duration) -> Follow {
    let address = host.settings.callers_address.map(|address| address.to_string());
    let entry = Entry {
        host: host.settings.host.clone(),
        zone: host.settings.zone.clone(),
        address: address.unwrap_or_default(),
        is_ready: host.is_ready(),
    };
    Follow {
        host: host.settings.host.clone(),
        name: host.settings.name.clone(),
        incarnation: host.peers.local().incarnation,
        role: Role::Entry(entry),
        view_version,
        version: host.view().version(),
        wait_ms: wait.as_millis() as u64,
        counts: host.usage().counts(),
    }
}

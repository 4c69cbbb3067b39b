//! Reports what was used in each window of time, once.

use crate::host::Host;
use catkinlatch_base::{Term, WindowId};
use catkinlatch_ledger::{Command, Count};
use catkinlatch_platform::{Duty, encode_usage};
use catkinlatch_runtime::http::full;
use http::StatusCode;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How often the leader looks for windows that are over.
const INTERVAL: Duration = Duration::from_millis(700);

/// How long a new leader waits for the counts of all entry hosts.
const TAKEOVER: Duration = Duration::from_millis(1_500);

/// How long after a window's end its counts are taken: entry hosts hand over theirs twice a second.
const SETTLE_MS: u64 = 1_800;

/// How long the platform may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What became of a report.
enum Sent {
    /// The platform has taken it.
    Taken,
    /// Another process has reported since.
    Fenced,
    /// It is to be sent again.
    Unsure,
}

/// Closes and reports windows for as long as this host leads in this term.
pub async fn run(host: Arc<Host>, term: Term) {
    let length = host.settings.times.report_window_ms();
    let first = WindowId::new(host.clock.wall_ms() / length);
    // Entry hosts hand their counts to a new leader as soon as they have found it.
    time::sleep(TAKEOVER).await;
    loop {
        keep_counts(&host).await;
        close(&host, first, length).await;
        host.await_turn().await;
        for (window, counts) in unreported(&host) {
            match report(&host, term, window, &counts).await {
                Sent::Taken => {
                    let _ = host.replica.propose(Command::WindowReported { window }).await;
                }
                Sent::Fenced => time::sleep(host.settings.times.lease()).await,
                Sent::Unsure => break,
            }
        }
        time::sleep(INTERVAL).await;
    }
}

/// Commits what processes counted, so that it outlives this host.
async fn keep_counts(host: &Host) {
    let uncounted = {
        let soft = host.soft();
        host.replica.read(|state| soft.uncounted(state))
    };
    if !uncounted.is_empty() {
        let _ = host.replica.propose(Command::Count(uncounted)).await;
    }
}

/// Fixes the counts of the windows that are over.
async fn close(host: &Host, first: WindowId, length: u64) {
    let settled_ms = host.clock.wall_ms().saturating_sub(SETTLE_MS);
    let Some(over) = (settled_ms / length).checked_sub(1) else { return };
    let last = host.replica.read(|state| {
        state.document.as_ref().map(|_| state.last_window().map_or(first, WindowId::next))
    });
    let Some(mut window) = last else { return };
    while window.get() <= over {
        if host.replica.propose(Command::CloseWindow { window }).await.is_err() {
            return;
        }
        let counts = host.replica.read(|state| state.windows.get(&window).cloned());
        let counts = counts.into_iter().flat_map(|window| window.counts);
        let requests: u64 = counts.map(|count| count.requests).sum();
        info!(window = window.get(), requests = requests; "usage: closed a window");
        window = window.next();
    }
}

fn unreported(host: &Host) -> Vec<(WindowId, Vec<Count>)> {
    host.replica.read(|state| {
        let windows = state.unreported();
        windows.map(|(window, closed)| (window, closed.counts.clone())).collect()
    })
}

async fn report(host: &Host, term: Term, window: WindowId, counts: &[Count]) -> Sent {
    let Some(platform) = host.settings.platform_address else { return Sent::Taken };
    if host.replica.fencing() != Some(term) {
        return Sent::Unsure;
    }
    let duty = Duty { holder: &host.settings.name, fence: term };
    let address = platform.to_string();
    let mut request = encode_usage(&duty, window, counts).map(full);
    if let Ok(authority) = http::HeaderValue::from_str(&address) {
        request.headers_mut().insert(http::header::HOST, authority);
    }
    host.acts();
    let sent = time::timeout(ANSWER_TIMEOUT, host.client.send(&address, request)).await;
    let status = match sent {
        Ok(Ok(exchange)) => exchange.response.status(),
        Ok(Err(failure)) => {
            warn!(window = window.get(), reason:% = failure; "usage: no answer from the platform");
            return Sent::Unsure;
        }
        Err(_) => {
            warn!(window = window.get(); "usage: the platform did not answer in time");
            return Sent::Unsure;
        }
    };
    info!(window = window.get(), status = status.as_u16(), term = term.get(); "usage: reported");
    match status {
        StatusCode::CONFLICT => Sent::Fenced,
        status if status.is_success() => Sent::Taken,
        _ => Sent::Unsure,
    }
}

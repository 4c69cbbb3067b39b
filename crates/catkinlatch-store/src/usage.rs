//! Closes usage windows, and reports each of them to the platform.

use crate::host::Host;
use catkinlatch_base::{Term, WindowId};
use catkinlatch_ledger::{Command, Count};
use catkinlatch_platform::{Sender, encode_usage};
use catkinlatch_runtime::http::full;
use http::StatusCode;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Interval at which the leader checks for windows that have ended.
const INTERVAL: Duration = Duration::from_millis(700);

/// How long a new leader waits for the counts of all entry hosts before it closes windows.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// How long after its end a window is closed. Entry hosts send their counts twice a second.
const SETTLE_DELAY_MS: u64 = 1_800;

/// Timeout for the platform's answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The outcome of sending a report.
enum Delivery {
    /// The platform accepted the report, or no platform is configured.
    Accepted,
    /// The platform refused the report because another process has reported since.
    Fenced,
    /// The report was not sent or not confirmed, and must be sent again.
    Unconfirmed,
}

/// Closes and reports windows until it is cancelled, when this host stops leading in `term`.
pub async fn run(host: Arc<Host>, term: Term) {
    let length = host.settings.times.report_window_ms();
    let first = WindowId::new(host.clock.wall_ms() / length);
    // Entry hosts send their counts to a new leader as soon as they have found it.
    time::sleep(TAKEOVER_DELAY).await;
    loop {
        commit_counts(&host).await;
        close_windows(&host, first, length).await;
        host.await_turn(ANSWER_TIMEOUT).await;
        for (window, counts) in unreported(&host) {
            match report(&host, term, window, &counts).await {
                Delivery::Accepted => {
                    let _ = host.replica.propose(Command::WindowReported { window }).await;
                }
                Delivery::Fenced => time::sleep(host.settings.times.lease()).await,
                Delivery::Unconfirmed => break,
            }
        }
        time::sleep(INTERVAL).await;
    }
}

/// Commits usage counts, so that they survive the loss of this host.
async fn commit_counts(host: &Host) {
    let uncommitted = {
        let soft = host.soft_state();
        host.replica.read(|state| soft.uncommitted_counts(state))
    };
    if !uncommitted.is_empty() {
        let _ = host.replica.propose(Command::Count(uncommitted)).await;
    }
}

/// Closes the windows that have ended, which fixes their counts.
async fn close_windows(host: &Host, first: WindowId, length: u64) {
    let settled_ms = host.clock.wall_ms().saturating_sub(SETTLE_DELAY_MS);
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

async fn report(host: &Host, term: Term, window: WindowId, counts: &[Count]) -> Delivery {
    let Some(platform) = host.settings.platform_address else { return Delivery::Accepted };
    let sender = Sender { holder: &host.settings.name, fence: term };
    let address = platform.to_string();
    let mut request = encode_usage(&sender, window, counts).map(full);
    if let Ok(authority) = http::HeaderValue::from_str(&address) {
        request.headers_mut().insert(http::header::HOST, authority);
    }
    let may_send = || {
        host.record_action(term);
        host.replica.fencing_token() == Some(term)
    };
    let sent = host.client.send_if(&address, request, may_send);
    let sent = time::timeout(ANSWER_TIMEOUT, sent).await;
    host.record_action(term);
    let status = match sent {
        Ok(Ok(exchange)) => exchange.response.status(),
        Ok(Err(failure)) => {
            warn!(window = window.get(), reason:% = failure; "usage: no answer from the platform");
            return Delivery::Unconfirmed;
        }
        Err(_) => {
            warn!(window = window.get(); "usage: the platform did not answer in time");
            return Delivery::Unconfirmed;
        }
    };
    info!(window = window.get(), status = status.as_u16(), term = term.get(); "usage: reported");
    match status {
        StatusCode::CONFLICT => Delivery::Fenced,
        status if status.is_success() => Delivery::Accepted,
        _ => Delivery::Unconfirmed,
    }
}

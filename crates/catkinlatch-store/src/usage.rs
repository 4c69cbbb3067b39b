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
const INTERVAL: Duration = Duration::from_millis(250);

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
    loop {
        time::sleep(INTERVAL).await;
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
    }
}

/// Fixes the counts of the windows that are over.
async fn close(host: &Host, first: WindowId, length: u64) {
    let Some(over) = (host.clock.wall_ms().saturating_sub(SETTLE_MS) / length).checked_sub(1)
    else {
        return;
    };
    let last = host.replica.read(|state| {
        state.document.as_ref().map(|_| state.last_window().map_or(first, WindowId::next))
    });
    let Some(mut window) = last else { return };
    while window.get() <= over {
        let counts = host.soft().used(window);
        let requests: u64 = counts.iter().map(|count| count.requests).sum();
        info!(window = window.get(), requests = requests; "usage: closed a window");
        if host.replica.propose(Command::CloseWindow { window, counts }).await.is_err() {
            return;
        }
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
    let request = encode_usage(&duty, window, counts).map(full);
    let mut request = request;
    let authority = http::HeaderValue::from_str(&platform.to_string());
    if let Ok(authority) = authority {
        request.headers_mut().insert(http::header::HOST, authority);
    }
    let address = platform.to_string();
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

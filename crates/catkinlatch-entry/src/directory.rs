//! Directory of the entry hosts that callers may use.

use crate::{answer, host::Host};
use catkinlatch_base::ZoneId;
use catkinlatch_platform::{call, encode_addresses};
use catkinlatch_runtime::{http::Body, message::Entry};
use http::{Response, StatusCode};
use hyper::{Request, body::Incoming};
use std::{
    future::{Ready, ready},
    sync::Arc,
    time::Duration,
};

/// Longest time callers may cache addresses, in milliseconds: short, so that they soon stop using
/// a host that shuts down.
const TTL_MS: u64 = 2_000;

/// Number of ready entry hosts in the caller's zone from which on other zones are left out.
const MIN_LOCAL_HOSTS: usize = 2;

/// Largest number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Returns the handler of the directory's HTTP server.
pub fn handler(
    host: Arc<Host>,
) -> impl Fn(Request<Incoming>) -> Ready<Response<Body>> + Send + Sync {
    move |request| ready(respond(&host, &request))
}

fn respond(host: &Host, request: &Request<Incoming>) -> Response<Body> {
    let Some(zone) = call::directory_call(request.method(), request.uri()) else {
        return answer::status(StatusCode::NOT_FOUND);
    };
    let addresses = addresses(host, zone.as_ref());
    if addresses.is_empty() {
        return answer::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_ms = TTL_MS.min(host.settings.times.address_ttl_ms());
    answer::json(encode_addresses(&addresses, ttl_ms))
}

/// Returns the addresses of ready entry hosts that are taken to be running, only those in the
/// caller's zone if there are enough. Where the deployment bounds the time without contact, there
/// is always one: that of this host.
fn addresses(host: &Host, zone: Option<&ZoneId>) -> Vec<String> {
    let view = host.view();
    let own = &host.settings.host;
    let (now, times) = (host.clock.now(), &host.settings.times);
    let contact_time = times.contact_ms.map(Duration::from_millis);
    let contact = host.contact().clone();
    // This host's own readiness is more recent than the leader's copy of it.
    let is_serving = |entry: &&Entry| match entry.host == *own {
        true => host.is_ready(),
        false => entry.is_ready && contact.is_running(&entry.host, contact_time, now),
    };
    let ready: Vec<_> = view.entries.iter().filter(is_serving).collect();
    let local: Vec<_> = ready.iter().filter(|entry| Some(&entry.zone) == zone).copied().collect();
    let chosen = if local.len() >= MIN_LOCAL_HOSTS { local } else { ready };
    let addresses = chosen.iter().take(MAX_ADDRESSES).map(|entry| entry.address.clone());
    let addresses: Vec<String> = addresses.collect();
    let own_address = host.settings.callers_address.filter(|_| contact_time.is_some());
    match own_address {
        Some(own) if addresses.is_empty() => vec![own.to_string()],
        _ => addresses,
    }
}

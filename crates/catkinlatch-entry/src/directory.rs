//! Tells callers which entry hosts to use.

use crate::{answer, host::Host};
use catkinlatch_base::ZoneId;
use catkinlatch_platform::{call, encode_addresses};
use catkinlatch_runtime::{http::Body, message::Entry};
use http::{Response, StatusCode};
use hyper::{Request, body::Incoming};
use std::{
    future::{Ready, ready},
    sync::Arc,
};

/// How long callers may keep addresses: short, so that a host that stops is soon left alone.
const TTL_MS: u64 = 2_000;

/// The fewest entry hosts of a caller's own zone that are named without those of other zones.
const MIN_LOCAL_HOSTS: usize = 2;

/// The most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Returns what answers the callers.
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

/// Returns the ready entry hosts, those of the caller's zone alone if they are enough.
fn addresses(host: &Host, zone: Option<&ZoneId>) -> Vec<String> {
    let view = host.view();
    let own = &host.settings.host;
    // What this host knows of itself is newer than what the leader says.
    let is_serving = |entry: &&Entry| match entry.host == *own {
        true => host.is_ready(),
        false => entry.is_ready,
    };
    let ready: Vec<_> = view.entries.iter().filter(is_serving).collect();
    let local: Vec<_> = ready.iter().filter(|entry| Some(&entry.zone) == zone).copied().collect();
    let chosen = if local.len() >= MIN_LOCAL_HOSTS { local } else { ready };
    chosen.iter().take(MAX_ADDRESSES).map(|entry| entry.address.clone()).collect()
}

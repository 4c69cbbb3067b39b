//! Tells callers which entry hosts to use.

use crate::host::Host;
use catkinlatch_base::ZoneId;
use catkinlatch_platform::{call, encode_addresses};
use catkinlatch_runtime::http::{Body, empty, full};
use http::{Response, StatusCode, header};
use hyper::{Request, body::Incoming};
use std::{future::Future, pin::Pin, sync::Arc};

/// How long callers may keep addresses: short, so that a host that stops is soon left alone.
const TTL_MS: u64 = 2_000;

/// The fewest entry hosts of a caller's own zone that are named without those of other zones.
const LEAST_NEAR: usize = 2;

/// The most addresses in one answer.
const MOST_ADDRESSES: usize = 64;

type Answered = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Returns what answers the callers.
pub fn handler(host: Arc<Host>) -> impl Fn(Request<Incoming>) -> Answered + Send + Sync {
    move |request| {
        let answer = answer(&host, &request);
        Box::pin(std::future::ready(answer))
    }
}

fn answer(host: &Host, request: &Request<Incoming>) -> Response<Body> {
    let Some(zone) = call::directory_call(request.method(), request.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let addresses = addresses(host, zone.as_ref());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_ms = TTL_MS.min(host.settings.times.address_ttl_ms());
    let body = encode_addresses(&addresses, ttl_ms);
    let mut response = Response::new(full(body));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the ready entry hosts, those of the caller's zone alone if they are enough.
fn addresses(host: &Host, zone: Option<&ZoneId>) -> Vec<String> {
    let soft = host.soft();
    let ready: Vec<_> = soft.entries().filter(|entry| entry.is_ready).collect();
    let near: Vec<_> = ready.iter().filter(|entry| Some(&entry.zone) == zone).copied().collect();
    let chosen = if near.len() >= LEAST_NEAR { near } else { ready };
    chosen.iter().take(MOST_ADDRESSES).map(|entry| entry.address.clone()).collect()
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

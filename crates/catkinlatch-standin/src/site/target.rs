//! Registration, heartbeats and draining, which all stand-in targets share.

use super::{Cold, Limit};
use catkinlatch_runtime::http::{Client, full};
use http::{HeaderValue, Request, Response};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time;

/// Interval between the heartbeats of a target.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// The build of the software that targets run unless a test chooses another one.
pub const FIRST_BUILD: &str = "v1";

/// Marks an answer that breaks off before any of it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Lost;

/// One start of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id of the target.
    pub id: String,
    /// The name of the target's service.
    pub service: &'static str,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: &'static str,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// Whether the target is draining.
    pub is_draining: Arc<AtomicBool>,
    /// Whether the target says in its answers that it leaves, whatever its heartbeats say.
    pub says_leaving: Arc<AtomicBool>,
    /// Whether the target answers nothing, and leaves its connections open.
    pub is_silent: Arc<AtomicBool>,
    /// The target's cold phase.
    pub cold: Cold,
    /// The build of the target's software, which its heartbeats name.
    pub build: String,
    /// The limit that the target names.
    pub limit: Limit,
    /// The pace of the target's machine in percent, which its answers state unless it is 0.
    pub pace: Arc<AtomicU32>,
    /// Number of heartbeats that were acknowledged while the target was draining.
    pub acknowledged: Arc<AtomicU64>,
}

impl Target {
    /// Creates a target in zone `zone-0` that accepts requests.
    pub fn new(id: &str, service: &'static str, address: SocketAddr, slots: u32) -> Self {
        let (is_draining, says_leaving, is_silent, acknowledged) = Default::default();
        let (id, pace) = (id.to_owned(), Arc::default());
        let cold = Cold::new(Duration::ZERO);
        Self {
            id,
            service,
            address,
            zone: "zone-0",
            slots,
            is_draining,
            says_leaving,
            is_silent,
            cold,
            build: FIRST_BUILD.to_owned(),
            limit: Limit::default(),
            pace,
            acknowledged,
        }
    }

    /// Places the target in a zone.
    pub fn with_zone(self, zone: &'static str) -> Self {
        Self { zone, ..self }
    }

    /// Lets the target run a build of its software.
    pub fn with_build(self, build: &str) -> Self {
        Self { build: build.to_owned(), ..self }
    }

    /// Adds the headers that say that the target leaves, is cold, and how fast it is, if they apply.
    pub fn finish<B>(&self, mut response: Response<B>) -> Response<B> {
        if self.says_leaving.load(Ordering::Relaxed) {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        if let Some(left) = self.cold.stated() {
            response.headers_mut().insert("cold-ms", HeaderValue::from(left as u64));
        }
        if let Some(rate) = self.limit.rate() {
            if response.extensions().get::<Lost>().is_none() {
                self.limit.record_named();
            }
            let rate = HeaderValue::from_str(&rate.to_string());
            response.headers_mut().insert("server-limit", rate.expect("a number is valid"));
        }
        let pace = self.pace.load(Ordering::Relaxed);
        if let Some(load) = (pace > 0).then(|| format!("0,0,{},{pace}", self.slots)) {
            let load = HeaderValue::from_str(&load).expect("digits are valid in a header");
            response.headers_mut().insert("server-load", load);
        }
        response
    }

    /// Sends heartbeats to the control hosts in turn until the task is dropped.
    pub async fn announce(self, controls: Vec<String>, models: impl Fn() -> Value) {
        let client = Client::new();
        let started_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        for sequence in 1_u64.. {
            let is_draining = self.is_draining.load(Ordering::Relaxed);
            let body = json!({
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": self.build, "slots": self.slots,
                "cold_left_ms": self.cold.left().as_millis() as u64, "stage": "both",
                "state": if is_draining { "draining" } else { "ready" },
                "models": models(), "seq": sequence, "born": started_ms as u64,
            });
            let control = &controls[sequence as usize % controls.len()];
            let request = Request::put(format!("/instances/{}", self.id))
                .header("host", "control")
                .body(full(body.to_string()))
                .expect("the request is valid");
            let sent = time::timeout(Duration::from_secs(1), client.send(control, request)).await;
            let is_acknowledged =
                matches!(sent, Ok(Ok(exchange)) if exchange.response.status().is_success());
            if is_draining && is_acknowledged {
                self.acknowledged.fetch_add(1, Ordering::Relaxed);
            }
            time::sleep(HEARTBEAT).await;
        }
    }
}

//! Registration, heartbeats and draining, which all stand-in targets share.

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

/// One start of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id of the target.
    pub id: String,
    /// The name of the target's service.
    pub service: &'static str,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// Whether the target is draining.
    pub is_draining: Arc<AtomicBool>,
    /// Whether the target says in its answers that it leaves, whatever its heartbeats say.
    pub says_leaving: Arc<AtomicBool>,
    /// Whether the target answers nothing, and leaves its connections open.
    pub is_silent: Arc<AtomicBool>,
    /// The pace of the target's machine in percent, which its answers state unless it is 0.
    pub pace: Arc<AtomicU32>,
    /// Number of heartbeats that were acknowledged while the target was draining.
    pub acknowledged: Arc<AtomicU64>,
}

impl Target {
    /// Creates a target that accepts requests.
    pub fn new(id: &str, service: &'static str, address: SocketAddr, slots: u32) -> Self {
        let (is_draining, says_leaving, is_silent, acknowledged) = Default::default();
        let (id, pace) = (id.to_owned(), Arc::default());
        Self {
            id,
            service,
            address,
            slots,
            is_draining,
            says_leaving,
            is_silent,
            pace,
            acknowledged,
        }
    }

    /// Adds the headers that say that the target leaves, and how fast it is, if they apply.
    pub fn finish<B>(&self, mut response: Response<B>) -> Response<B> {
        if self.says_leaving.load(Ordering::Relaxed) {
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
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
                "service": self.service, "address": self.address, "zone": "zone-0",
                "version": "v1", "slots": self.slots, "cold_left_ms": 0, "stage": "both",
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

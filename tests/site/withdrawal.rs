//! Targets that withdraw a start and start again under their id.

use super::{Setup, ok, wait_until};
use catkinlatch_standin::site::Service;
use http::{Request, StatusCode};
use serde_json::json;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use test_case::test_case;
use tokio::time::{self, Instant};

/// Start of the first process of the target, in milliseconds since the Unix epoch.
pub(super) const FIRST: u64 = 1_700_000_000_000;

/// Start of the second process.
pub(super) const SECOND: u64 = FIRST + 5_000;

/// Longest time until a ready target gets one of many requests.
const USED_TIME: Duration = Duration::from_secs(8);

/// Longer than the time after which a target counts as silent.
const SILENCE: Duration = Duration::from_millis(4_500);

/// A target whose heartbeats and withdrawals the test sends.
pub(super) struct Target {
    pub(super) service: Service,
    /// Number of heartbeats that the target has sent.
    heartbeats: AtomicU64,
}

impl Target {
    pub(super) async fn start() -> Self {
        let nowhere = vec!["127.0.0.1:1".to_owned()];
        let service = Service::start("survey-2", "survey", nowhere).await.unwrap();
        Self { service, heartbeats: AtomicU64::new(0) }
    }

    pub(super) async fn announce(&self, setup: &Setup, born: u64) {
        let sequence = self.heartbeats.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "service": "survey", "address": self.service.target.address, "zone": "zone-0",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "stage": "both",
            "models": [], "seq": sequence, "born": born,
        });
        setup.site.control("PUT", "/instances/survey-2", &body.to_string()).await;
    }

    async fn withdraw(&self, setup: &Setup, born: u64) {
        let body = json!({ "born": born }).to_string();
        setup.site.control("DELETE", "/instances/survey-2", &body).await;
    }

    /// Withdraws a start at one store, which must acknowledge that.
    pub(super) async fn withdraw_at(&self, setup: &Setup, store: usize, born: u64) {
        let address = setup.site.stores()[store].address(setup.site.ports.control);
        let request = Request::delete("/instances/survey-2").header("host", "control");
        let request = request.body(json!({ "born": born }).to_string().into_bytes()).unwrap();
        assert!(setup.site.call(&address, request).await.is_some_and(ok));
    }

    /// Sends requests to both entry hosts until one ran on the target; returns false if none did in
    /// time. A start sends heartbeats meanwhile.
    pub(super) async fn is_used(&self, setup: &Setup, born: u64, name: &str) -> bool {
        self.is_used_within(USED_TIME, setup, born, name).await
    }

    pub(super) async fn is_used_within(
        &self,
        limit: Duration,
        setup: &Setup,
        born: u64,
        name: &str,
    ) -> bool {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            self.announce(setup, born).await;
            let id = format!("{name}-{number}");
            let answer = setup.request(number as usize % 2, "POST", "/survey/1", &id, "").await;
            assert!(answer.is_some_and(ok), "{id}");
            if self.service.runs(&id) > 0 {
                return true;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// When the withdrawal of the first start arrives.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// After the next start has registered.
    Late,
    /// Twice before the next start registers.
    Twice,
    /// Once the first start counts as silent.
    AfterSilence,
}

/// Guards against a ready target that gets no requests since an earlier start of it withdrew.
#[test_case(Arrival::Late; "after the next one registered")]
#[test_case(Arrival::Twice; "twice before the next one registers")]
#[test_case(Arrival::AfterSilence; "once the earlier one is silent")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_withdrawal_of_an_earlier_start_does_not_shut_out_the_next_one(arrival: Arrival) {
    let setup = Setup::start().await;
    let target = Target::start().await;
    target.announce(&setup, FIRST).await;
    assert!(target.is_used(&setup, FIRST, "first").await);
    match arrival {
        Arrival::Late => target.announce(&setup, SECOND).await,
        Arrival::Twice => target.withdraw(&setup, FIRST).await,
        Arrival::AfterSilence => time::sleep(SILENCE).await,
    }
    target.withdraw(&setup, FIRST).await;
    target.announce(&setup, SECOND).await;
    assert!(target.is_used(&setup, SECOND, "second").await, "the next start is not used");
}

/// Guards against requests to a start that has withdrawn, by a heartbeat that was delayed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_heartbeat_of_a_withdrawn_start_changes_nothing() {
    let setup = Setup::start().await;
    let target = Target::start().await;
    target.withdraw(&setup, FIRST).await;
    assert!(!target.is_used(&setup, FIRST, "unknown").await);
    target.announce(&setup, SECOND).await;
    assert!(target.is_used(&setup, SECOND, "second").await);
    target.withdraw(&setup, SECOND).await;
    assert!(!target.is_used(&setup, SECOND, "withdrawn").await);
}

/// Guards against a ready target that gets no requests since a withdrawal that names no start, which
/// an earlier start may have sent, removed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_keeps_registering_after_an_unnamed_withdrawal_is_used_again() {
    let setup = Setup::start().await;
    let target = Target::start().await;
    assert!(target.is_used(&setup, SECOND, "before").await);
    setup.site.control("DELETE", "/instances/survey-2", "").await;
    assert!(!target.is_used(&setup, SECOND, "withdrawn").await);
    wait_until("the target is used again", || target.is_used(&setup, SECOND, "again")).await;
}

/// Guards against withdrawals by other writers that remove a target.
#[test_case("nothing"; "bytes")]
#[test_case(r#"{"born":"yesterday"}"#; "type of the start")]
#[test_case(r#"{"born":9000000000000000}"#; "start that lies ahead")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreadable_withdrawal_removes_nothing(body: &'static str) {
    let setup = Setup::start().await;
    let target = Target::start().await;
    assert!(target.is_used(&setup, FIRST, "before").await);
    let control = setup.site.stores()[0].address(setup.site.ports.control);
    let request = Request::delete("/instances/survey-2").header("host", "control");
    let answer = setup.site.call(&control, request.body(body.into()).unwrap()).await;
    assert_eq!(answer.map(|answer| answer.status()), Some(StatusCode::BAD_REQUEST));
    assert!(target.is_used(&setup, FIRST, "after").await);
}

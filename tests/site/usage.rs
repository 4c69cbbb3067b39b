//! Usage reports to a platform that does not answer as it should.

use super::{Setup, ok, wait_until};
use catkinlatch_standin::site::Outage;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{self, Instant};

/// How long the platform fails; windows last a second and are due after five.
const OUTAGE: Duration = Duration::from_secs(4);

/// Guards against requests that are reported twice, or not at all, after an answer was lost.
#[test_case(Outage::Down; "down")]
#[test_case(Outage::Silent; "silent")]
#[test_case(Outage::LosesAnswers; "loses answers")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_request_is_reported_once_after(outage: Outage) {
    let setup = Setup::start().await;
    setup.site.platform.set_outage(Some(outage));
    let (end, mut served) = (Instant::now() + OUTAGE, 0);
    while Instant::now() < end {
        let id = format!("used-{served}");
        let answer = setup.request(served % 2, "POST", "/survey/1", &id, "").await;
        served += usize::from(answer.is_some_and(ok));
        time::sleep(Duration::from_millis(50)).await;
    }
    setup.site.platform.set_outage(None);
    let expected = setup.service.total_runs() as u64;
    assert!(served > 20 && expected > served as u64);
    wait_until("all requests are reported", || async {
        setup.site.platform.requests("team") >= expected
    })
    .await;
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(setup.site.platform.requests("team"), expected);
    assert!(setup.site.platform.reports().values().all(|report| !report.is_contradicted));
}

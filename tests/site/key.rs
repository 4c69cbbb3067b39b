//! Keys that a new configuration takes away.

use super::{Setup, configuration, ok, wait_until};
use http::StatusCode;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_is_taken_away_runs_nothing_once_that_is_acknowledged() {
    let mut setup = Setup::start().await;
    let without = configuration(2).replace("key-of-the-team", "another-key");
    setup.site.control("PUT", "/config", &without).await;
    for number in 0..10 {
        let id = format!("after-{number}");
        let answer = setup.request(number % 2, "POST", "/survey/1", &id, "").await.unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{id}");
        assert_eq!(setup.service.runs(&id), 0, "{id}");
    }

    // The stores are killed: a host goes on with what it knows, and the key does not come back.
    let stores = setup.site.stores().len();
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.kill().unwrap());
    for entry in 0..2 {
        let answer = setup.request(entry, "POST", "/survey/1", "cut-off", "").await.unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    }
    setup.site.hosts[..stores].iter_mut().for_each(|host| host.start().unwrap());
    setup.site.control("PUT", "/config", &configuration(3)).await;
    wait_until("the key is back", || async {
        setup.request(0, "POST", "/survey/1", "again", "").await.is_some_and(ok)
    })
    .await;
}

//! How a stand-in target counts requests against the limit that it names.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::Rate;
use catkinlatch_runtime::http::{Client, full};
use catkinlatch_standin::site::{Service, request};
use std::{sync::atomic::Ordering, time::Duration};

/// Sends requests one after the other; returns how many answers named a limit.
async fn send(service: &Service, count: usize) -> usize {
    let (client, address) = (Client::new(), service.target.address.to_string());
    let mut named = 0;
    for _ in 0..count {
        let request = request("POST", "/survey/1", "id", Duration::from_secs(1));
        let request = request.body(full("")).unwrap();
        let answer = client.fetch(&address, request, Duration::from_secs(5), 1 << 10).await;
        named += usize::from(answer.is_some_and(|it| it.headers().contains_key("server-limit")));
    }
    named
}

/// Guards against a check that counts while no sender can know of the limit.
#[tokio::test]
async fn requests_count_against_a_limit_from_the_first_answer_that_names_it() {
    let service = Service::start("survey-1", "survey", vec!["127.0.0.1:1".into()]).await.unwrap();
    let limit = &service.target.limit;
    limit.set(Some(Rate::new(1.0).unwrap()), Duration::ZERO);
    service.answers_to_lose.store(3, Ordering::Relaxed);
    assert_eq!(send(&service, 3).await, 0);
    assert!(!limit.is_named());
    assert_eq!(send(&service, 1).await, 1);
    assert_eq!((limit.total(), limit.is_named()), (0, true));
    service.answers_to_lose.store(2, Ordering::Relaxed);
    assert_eq!(send(&service, 4).await, 2);
    assert_eq!((limit.total(), limit.most()), (4, 4));
}

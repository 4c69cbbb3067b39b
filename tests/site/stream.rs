//! A caller's side of a stream.

use super::{Setup, wait_until};
use catkinlatch_runtime::http::{BodyError, Client, Exchange, Framing, full};
use catkinlatch_standin::site::{self, Engine};
use http::StatusCode;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

/// A caller's connection to a stream, with the text received so far.
pub struct Stream {
    exchange: Exchange,
    text: String,
}

impl Stream {
    /// Requests a stream from the first entry host and waits for the response headers.
    pub async fn open(setup: &Setup, path: &str, id: &str) -> Self {
        Self::open_at(setup, 0, path, id).await
    }

    /// Requests a stream from an entry host and waits for the response headers.
    pub async fn open_at(setup: &Setup, entry: usize, path: &str, id: &str) -> Self {
        let exchange = Self::request(setup, entry, path, id, &[]).await;
        let log = || setup.site.entries()[entry].log();
        assert_eq!(exchange.response.status(), StatusCode::OK, "{id}: {}", log());
        assert_eq!(exchange.response.headers()["server-seal"], format!("seal-of-{id}"));
        Self { exchange, text: String::new() }
    }

    /// Requests a stream from the first entry host.
    ///
    /// # Errors
    ///
    /// Returns the status if the response is no stream.
    pub async fn try_open(setup: &Setup, path: &str, id: &str) -> Result<Self, StatusCode> {
        let exchange = Self::request(setup, 0, path, id, &[]).await;
        match exchange.response.status() {
            StatusCode::OK => Ok(Self { exchange, text: String::new() }),
            status => Err(status),
        }
    }

    /// Resumes a stream at an entry host after event `last`.
    ///
    /// # Errors
    ///
    /// Returns the status if the response is no stream.
    pub async fn resume(
        setup: &Setup,
        entry: usize,
        (id, resumed): (&str, &str),
        last: u64,
    ) -> Result<Self, StatusCode> {
        let headers = [("last-event-id", &*last.to_string()), ("resumes", resumed)];
        let exchange = Self::request(setup, entry, "/chat/1", id, &headers).await;
        match exchange.response.status() {
            StatusCode::OK => Ok(Self { exchange, text: String::new() }),
            status => Err(status),
        }
    }

    async fn request(
        setup: &Setup,
        entry: usize,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Exchange {
        let address = setup.site.entries()[entry].address(setup.site.ports.callers);
        let mut request = site::request("POST", path, id, Duration::from_secs(20));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Client::new().send(&address, request.body(full("ask")).unwrap()).await.unwrap()
    }

    /// Reads until the stream has this number of events.
    pub async fn read_events(&mut self, count: usize) {
        while self.events().len() < count {
            assert!(self.read().await.unwrap(), "the stream ended early");
        }
    }

    /// Reads to the end of the stream; returns whether it is complete.
    pub async fn read_to_end(&mut self) -> bool {
        loop {
            match self.read().await {
                Ok(true) => {}
                Ok(false) => return true,
                Err(_) => return false,
            }
        }
    }

    /// Returns whether the response tells where it ends other than by the end of its connection.
    pub fn is_framed(&self) -> bool {
        self.exchange.framing == Framing::Explicit
    }

    /// Returns the build of the target's software that the first event is of; `None` for the first build.
    pub fn build(&self) -> Option<&str> {
        let first = self.text.lines().find_map(|line| line.strip_prefix("data: "))?;
        first.rsplit_once(" by ").map(|(_, build)| build)
    }

    /// Returns whether any event is of a build of the target's software other than the first one.
    pub fn is_of_other_build(&self) -> bool {
        self.text.contains(" by ")
    }

    /// Returns whether the events received so far are of one build of the target's software.
    pub fn is_of_one_build(&self) -> bool {
        let data = || self.text.lines().filter(|line| line.starts_with("data: "));
        !self.is_of_other_build() || data().all(|line| line.contains(" by "))
    }

    /// Reads the next part; returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is interrupted.
    pub async fn read(&mut self) -> Result<bool, BodyError> {
        let part = self.exchange.next().await?;
        self.text.push_str(std::str::from_utf8(part.as_deref().unwrap_or_default()).unwrap());
        Ok(part.is_some())
    }

    /// Returns the text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the ids of the events received so far.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }
}

/// Guards against a slow stream that is cut off although no other target takes it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_targets_are_all_slow_is_read_to_its_end() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        engine.state().event_time = Duration::from_millis(1_100);
    }
    let mut stream = Stream::open(&setup, "/chat/1", "slow").await;
    assert!(stream.read_to_end().await);
    assert_eq!(stream.events(), [1, 2, 3, 4, 5]);
}

/// Guards against a stream that waits until its caller's deadline for a target that stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_targets_all_stop_ends_within_seconds() {
    let setup = Setup::start().await;
    let mut stream = Stream::open(&setup, "/chat/1", "stopped").await;
    stream.read_events(1).await;
    setup.engines.iter().for_each(|engine| engine.state().event_time = Duration::from_secs(60));
    let began = Instant::now();
    assert!(!stream.read_to_end().await);
    let elapsed = began.elapsed();
    assert!(elapsed > Duration::from_secs(2) && elapsed < Duration::from_secs(6), "{elapsed:?}");
}

/// Guards against two targets that work on one stream while the second one does not answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_target_is_left_before_the_next_one_has_had_the_stream_for_long() {
    let setup = Setup::start().await;
    setup.engines.iter().for_each(|e| e.state().event_time = Duration::from_millis(1_300));
    let mut stream = Stream::open(&setup, "/chat/1", "late").await;
    let ran = |engine: &&Engine| engine.state().runs.contains_key("late");
    let (late, next): (Vec<_>, Vec<_>) = setup.engines.iter().partition(ran);
    next[0].target.is_silent.store(true, Ordering::Relaxed);
    // The first event is late for 0.8 s; the next target then has the stream for 0.5 s.
    time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(late[0].state().abandoned_runs, 1);
    assert!(!stream.read_to_end().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_are_forwarded_as_they_arrive_until_the_caller_disconnects() {
    let setup = Setup::start().await;
    for engine in &setup.engines {
        engine.state().events = 1_000;
    }
    let mut stream = Stream::open(&setup, "/chat/1", "talk").await;
    while stream.events().is_empty() {
        assert!(stream.read().await.unwrap());
    }
    let made = |engine: &Engine| engine.state().sent_events;
    assert!(
        setup.engines.iter().map(made).sum::<u64>() < 900,
        "the first event was delivered only after most of the stream was generated"
    );
    drop(stream);
    wait_until("the engine notices that its caller disconnected", || async {
        setup.engines.iter().any(|engine| engine.state().abandoned_runs > 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_interrupted_stream_is_resumed_only_on_resumable_routes() {
    let setup = Setup::start().await;
    let break_one = || {
        for engine in &setup.engines {
            engine.state().runs_to_break = 1;
        }
    };
    break_one();
    let mut stream = Stream::open(&setup, "/chat/1", "talk").await;
    setup.engines.iter().for_each(|engine| engine.state().runs_to_break = 0);
    while stream.read().await.unwrap() {}
    assert_eq!(stream.events(), [1, 2, 3, 4, 5]);
    let runs = |id: &str| -> Vec<u64> {
        let of = |engine: &Engine| engine.state().runs.get(id).cloned().unwrap_or_default();
        let mut runs: Vec<u64> = setup.engines.iter().flat_map(of).collect();
        runs.sort_unstable();
        runs
    };
    assert_eq!(runs("talk"), [0, 2], "the stream must be resumed after its second event");

    break_one();
    let mut stream = Stream::open(&setup, "/once/1", "once").await;
    let end = loop {
        match stream.read().await {
            Ok(true) => {}
            other => break other,
        }
    };
    assert!(end.is_err(), "a truncated stream ended without an error");
    assert_eq!((stream.events(), runs("once")), (vec![1, 2], vec![0]));
}

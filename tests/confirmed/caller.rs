//! Callers whose requests meet full, failing and slow targets, and the bounds on their retries.

use super::{
    document::{MAX_ATTEMPTS, TIMEOUT_MS},
    observer::Run,
};
use catkinlatch_standin::site::{Arrival, CRASHING_BODY, Flaw, Service};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::time;

/// How much later than the caller's clock says a target may be given the rest of its time: the time
/// that a request is under way between the processes of a busy machine.
const TRANSIT: Duration = Duration::from_millis(200);

/// The most targets that one request may crash: three, and three more.
const MAX_CRASHES: usize = 6;

/// Shortest and longest time that a caller gives, in milliseconds.
const DEADLINES_MS: std::ops::Range<u64> = 200..2_500;

/// The body of the copies, which crashes targets as well.
const COPIED_BODY: &str = "crash, copied";

/// How many targets a request may reach after it has crashed three.
const MAX_FURTHER: usize = 3;

/// How long after the third crash copies may still arrive that were under way.
const UNDER_WAY: Duration = Duration::from_millis(100);

/// When the requests of all callers were sent, and the time in milliseconds that each was given.
#[derive(Default)]
pub struct Sent(Mutex<BTreeMap<String, (Instant, u64)>>);

impl Sent {
    fn insert(&self, id: &str, deadline_ms: u64) {
        let mut sent = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sent.insert(id.to_owned(), (Instant::now(), deadline_ms));
    }
}

/// Sends requests to random entry hosts, one at a time.
pub async fn call(run: Arc<Run>, sent: Arc<Sent>, caller: usize, mut random: fastrand::Rng) {
    for number in 0.. {
        if run.is_over() {
            return;
        }
        let id = format!("call-{caller}-{number}");
        let deadline_ms = random.u64(DEADLINES_MS);
        let entry = random.usize(..run.addresses.entries.len());
        sent.insert(&id, deadline_ms);
        let deadline = Duration::from_millis(deadline_ms);
        run.addresses.send(entry, "/survey/1", &id, &id, deadline).await;
        run.record.count("calls");
        time::sleep(Duration::from_millis(random.u64(..30))).await;
    }
}

/// Sends a request that crashes its targets to random entry hosts, again and again.
pub async fn call_crashing(run: Arc<Run>, mut random: fastrand::Rng) {
    for number in 0.. {
        if run.is_over() {
            return;
        }
        let entry = random.usize(..run.addresses.entries.len());
        let id = format!("crash-{number}");
        let deadline = Duration::from_millis(1_000);
        run.addresses.send(entry, "/survey/crash", &id, CRASHING_BODY, deadline).await;
        run.record.count("crashing calls");
        time::sleep(Duration::from_millis(random.u64(200..700))).await;
    }
}

/// Sends copies of a request that crashes its targets to all entry hosts at the same moment, again
/// and again.
pub async fn call_crashing_copies(run: Arc<Run>, mut random: fastrand::Rng) {
    for number in 0.. {
        if run.is_over() {
            return;
        }
        let ids: Vec<String> = (0..run.addresses.entries.len())
            .map(|entry| format!("copies-{number}-{entry}"))
            .collect();
        let deadline = Duration::from_millis(1_000);
        let send = |(entry, id): (usize, &String)| {
            let (addresses, id) = (run.addresses.clone(), id.clone());
            async move { addresses.send(entry, "/survey/copies", &id, COPIED_BODY, deadline).await }
        };
        futures::future::join_all(ids.iter().enumerate().map(send)).await;
        run.record.count("crashing copies");
        time::sleep(Duration::from_millis(random.u64(300..1_200))).await;
    }
}

/// Lets targets be full, fail, lose answers and be slow.
pub async fn disturb(run: Arc<Run>, services: Vec<Service>, mut random: fastrand::Rng) {
    while !run.is_over() {
        time::sleep(Duration::from_millis(random.u64(50..300))).await;
        let service = &services[random.usize(..services.len())];
        match random.u8(..5) {
            0 => service.is_full.store(random.bool(), Ordering::Relaxed),
            1 => service.spoil(Flaw::Failure, random.u32(1..6)),
            2 => service.answers_to_lose.store(random.u32(1..4), Ordering::Relaxed),
            3 => {
                let run_time = Duration::from_millis(random.u64(5..150));
                *service.run_time.lock().unwrap_or_else(PoisonError::into_inner) = run_time;
            }
            _ => {
                services.iter().for_each(|service| service.is_full.store(false, Ordering::Relaxed))
            }
        }
    }
}

/// Records what of the targets' arrivals breaks a rule.
pub fn check(run: &Run, sent: &Sent, services: &[Service]) {
    let mut arrivals: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for service in services {
        let held = service.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, list) in held.iter().filter(|(id, _)| id.starts_with("call-")) {
            arrivals.entry(id.clone()).or_default().extend(list.iter().cloned());
        }
    }
    let sent = sent.0.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, list) in &arrivals {
        let targets: BTreeSet<&String> = list.iter().map(|arrival| &arrival.target).collect();
        let ran = list.iter().filter(|arrival| !arrival.is_refused).count();
        if targets.len() > MAX_ATTEMPTS as usize || ran > MAX_ATTEMPTS as usize {
            run.record
                .violation(format!("{id} reached {} targets, ran {ran} times", targets.len()));
        }
        let Some((sent, deadline_ms)) = sent.get(id) else { continue };
        let total = Duration::from_millis((*deadline_ms).min(TIMEOUT_MS));
        for arrival in list {
            let given = Duration::from_millis(arrival.deadline_ms.unwrap_or(u64::MAX));
            let left = total.saturating_sub(arrival.at - *sent);
            if given > left + TRANSIT + run.stalls.between(*sent, arrival.at) {
                run.record.violation(format!("{id} has {left:?} left and was given {given:?}"));
            }
        }
    }
    let crashes: usize =
        services.iter().flat_map(Service::crashes).filter(|body| *body == CRASHING_BODY).count();
    let mut copies: Vec<Instant> = Vec::new();
    for service in services {
        let held = service.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let arrivals = held.iter().filter(|(id, _)| id.starts_with("copies-"));
        let arrivals = arrivals.flat_map(|(_, list)| list).filter(|arrival| !arrival.is_refused);
        copies.extend(arrivals.map(|arrival| arrival.at));
    }
    copies.sort_unstable();
    if let Some(third) = copies.get(2) {
        let further = copies.iter().filter(|at| **at > *third + UNDER_WAY).count();
        if further > MAX_FURTHER {
            run.record.violation(format!("copies reached {further} targets after three crashes"));
        }
    }
    if crashes > MAX_CRASHES {
        run.record.violation(format!("one request crashed {crashes} targets"));
    }
}

//! Random faults under operators, callers and readers, by seed.

use super::{
    caller::{self, Sent},
    fault,
    observer::{Run, watch_entry, watch_store},
    operator,
    setup::{ACK, ENTRIES, Setup},
};
use std::{
    env,
    fmt::Write as _,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// The number of store hosts, which all vote.
const STORES: usize = 3;

/// The number of targets.
const SERVICES: usize = 5;

/// The number of operators and of callers.
const OPERATORS: usize = 2;
const CALLERS: usize = 4;

/// How long faults are injected, unless the environment says otherwise.
const DURATION: Duration = Duration::from_secs(10);

/// Time limit for all tasks to end after the last fault.
const RECOVERY: Duration = Duration::from_secs(30);

/// Fails with the seed if an entry host obeys an acknowledged version too late or goes back, if a
/// read returns an older one, if an invalid one is accepted, if an acknowledgement takes longer than
/// `ack_ms`, or if retries go beyond `max_attempts`, the caller's time or the bound on crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn rules_hold_under_overlapping_faults() {
    let seeds = env::var("CONFIRMED_SEEDS").unwrap_or_else(|_| "1-1".to_owned());
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let seconds = env::var("CONFIRMED_SECONDS").ok().map(|text| text.parse().unwrap());
    let duration = seconds.map_or(DURATION, Duration::from_secs);
    let mut failed = String::new();
    for seed in first..=last {
        let (report, violations) = run(seed, duration).await;
        eprint!("{report}");
        if violations > 0 {
            failed.push_str(&report);
        }
    }
    assert!(failed.is_empty(), "{failed}");
}

/// Runs one seed; returns its report and the number of violations.
async fn run(seed: u64, duration: Duration) -> (String, usize) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut setup = Setup::start(STORES, SERVICES).await;
    let run = Arc::new(Run::new(setup.addresses.clone()));
    let sent = Arc::new(Sent::default());
    let watching = run.clone();
    let stalls = tokio::spawn(async move { watching.stalls.record().await });
    let mut tasks = JoinSet::new();
    (0..ENTRIES).for_each(|entry| {
        tasks.spawn(watch_entry(run.clone(), entry));
    });
    (0..STORES).for_each(|store| {
        tasks.spawn(watch_store(run.clone(), store));
    });
    for operator in 0..OPERATORS {
        tasks.spawn(operator::change(run.clone(), operator, random.fork()));
    }
    for caller in 0..CALLERS {
        tasks.spawn(caller::call(run.clone(), sent.clone(), caller, random.fork()));
    }
    tasks.spawn(caller::call_crashing(run.clone(), random.fork()));
    tasks.spawn(caller::call_crashing_copies(run.clone(), random.fork()));
    tasks.spawn(caller::disturb(run.clone(), setup.services.clone(), random.fork()));
    let faults = fault::inject(&mut setup, &run, duration, &mut random).await;
    run.is_over.store(true, Ordering::Relaxed);
    let ended = async { while tasks.join_next().await.is_some() {} };
    if time::timeout(RECOVERY, ended).await.is_err() {
        run.record.violation("tasks did not end after the last fault".to_owned());
    }
    stalls.abort();
    caller::check(&run, &sent, &setup.services);
    let state = run.record.lock();
    let mut violations = state.violations.clone();
    let late_acks = state.ack_times.iter().filter(|(_, time)| **time > ACK);
    for (version, time) in late_acks {
        violations.insert(format!("ack of {version} took {time:?}"));
    }
    let longest = |times: Vec<Duration>| {
        let mut times: Vec<u128> = times.iter().map(Duration::as_millis).collect();
        times.sort_unstable();
        let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied();
        (times.len(), at(0.5), at(0.9), times.last().copied())
    };
    let acks = longest(state.ack_times.values().copied().collect());
    let latenesses = longest(state.latenesses.values().copied().collect());
    let mut report = String::new();
    writeln!(report, "seed {seed}: {} faults, {:?}", faults.len(), state.counts).unwrap();
    writeln!(report, "  acks (number, median, 90%, longest ms): {acks:?}").unwrap();
    writeln!(report, "  ms from ack until obeyed: {latenesses:?}").unwrap();
    violations.iter().for_each(|violation| writeln!(report, "  BROKEN {violation}").unwrap());
    if !violations.is_empty() {
        writeln!(report, "  faults: {}", faults.join("\n    ")).unwrap();
        setup.keep_logs(&seed.to_string());
    }
    (report, violations.len())
}

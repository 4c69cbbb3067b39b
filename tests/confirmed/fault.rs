//! Kills, pauses and silent connections that overlap.

use super::{
    observer::Run,
    setup::{ENTRIES, Setup},
};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

/// What happens to a process or to the connections of an entry host.
#[derive(Clone, Copy, Debug)]
enum Action {
    PauseStore(usize),
    ResumeStore(usize),
    KillStore(usize),
    StartStore(usize),
    PauseEntry(usize),
    ResumeEntry(usize),
    KillEntry(usize),
    StartEntry(usize),
    /// Open connections stay open and forward nothing; new ones work.
    SilenceOpen(usize),
    /// No connection forwards anything.
    Cut(usize),
    Heal(usize),
}

/// Injects faults for `duration`; at most one store host has one at a time. All processes run again
/// when it returns.
pub async fn inject(
    setup: &mut Setup,
    run: &Run,
    duration: Duration,
    random: &mut fastrand::Rng,
) -> Vec<String> {
    let end = Instant::now() + duration;
    let mut injected = Vec::new();
    while Instant::now() < end {
        let mut plan = Vec::new();
        if random.u8(..10) < 7 {
            plan.extend(store_fault(setup, random));
        }
        if random.u8(..10) < 7 {
            plan.extend(entry_fault(random));
        }
        plan.sort_by_key(|(at, _)| *at);
        injected.push(format!("{plan:?}"));
        let began = Instant::now();
        for (at, action) in plan {
            time::sleep(at.saturating_sub(began.elapsed())).await;
            carry_out(setup, run, action);
        }
        time::sleep(Duration::from_millis(random.u64(..1_000))).await;
    }
    injected
}

fn store_fault(setup: &Setup, random: &mut fastrand::Rng) -> [(Duration, Action); 2] {
    let any = random.usize(..setup.site.stores().len());
    let store = if random.u8(..10) < 7 { setup.leader() } else { any };
    let (begin, end, millis) = match random.u8(..4) {
        0 => (Action::PauseStore(store), Action::ResumeStore(store), 20..400),
        1 | 2 => (Action::PauseStore(store), Action::ResumeStore(store), 400..2_500),
        _ => (Action::KillStore(store), Action::StartStore(store), 0..1_500),
    };
    span(begin, end, millis, random)
}

fn entry_fault(random: &mut fastrand::Rng) -> [(Duration, Action); 2] {
    let entry = random.usize(..ENTRIES);
    let (begin, end, millis) = match random.u8(..8) {
        0..3 => (Action::PauseEntry(entry), Action::ResumeEntry(entry), 20..600),
        3..5 => (Action::SilenceOpen(entry), Action::SilenceOpen(entry), 0..2_500),
        5 => (Action::KillEntry(entry), Action::StartEntry(entry), 0..1_500),
        _ => (Action::Cut(entry), Action::Heal(entry), 100..2_500),
    };
    span(begin, end, millis, random)
}

fn span(
    begin: Action,
    end: Action,
    millis: std::ops::Range<u64>,
    random: &mut fastrand::Rng,
) -> [(Duration, Action); 2] {
    let at = Duration::from_millis(random.u64(..800));
    [(at, begin), (at + Duration::from_millis(random.u64(millis)), end)]
}

fn carry_out(setup: &mut Setup, run: &Run, action: Action) {
    let stores = setup.site.stores().len();
    let hosts = &mut setup.site.hosts;
    match action {
        Action::PauseStore(store) => hosts[store].pause().unwrap(),
        Action::ResumeStore(store) => hosts[store].resume().unwrap(),
        Action::KillStore(store) => hosts[store].kill().unwrap(),
        Action::StartStore(store) => hosts[store].start().unwrap(),
        Action::PauseEntry(entry) => hosts[stores + entry].pause().unwrap(),
        Action::ResumeEntry(entry) => hosts[stores + entry].resume().unwrap(),
        Action::KillEntry(entry) => {
            run.record.begin_out_of_touch(entry);
            run.starts[entry].fetch_add(1, Ordering::Relaxed);
            hosts[stores + entry].kill().unwrap();
        }
        Action::StartEntry(entry) => {
            hosts[stores + entry].start().unwrap();
            run.starts[entry].fetch_add(1, Ordering::Relaxed);
            run.record.end_out_of_touch(entry);
        }
        Action::SilenceOpen(entry) => setup.relays[entry].silence_open_connections(),
        Action::Cut(entry) => {
            run.record.begin_out_of_touch(entry);
            setup.relays[entry].set_stopped(true);
        }
        Action::Heal(entry) => {
            setup.relays[entry].set_stopped(false);
            run.record.end_out_of_touch(entry);
        }
    }
}

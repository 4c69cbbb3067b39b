//! Tests that commands keep committed data: configurations, results and usage windows.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod common;

use catkinlatch_base::{Incarnation, Version, WindowId};
use catkinlatch_ledger::{
    Command, Configuration, Count, Outcome, Reply, State, Tally,
    config::{Document, Limits},
    job::{Advance, End, Progress},
};
use catkinlatch_log::{Index, Machine as _};
use common::{job, job_id};
use std::sync::Arc;

fn apply(state: &mut State, command: Command) -> Reply {
    state.apply(Index::new(1), &command)
}

fn document(version: u64, source: &str) -> Document {
    let configuration = Configuration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits::default(),
        teams: Vec::new(),
    };
    Document { configuration: Arc::new(configuration), source: source.to_owned().into() }
}

fn finish(item: u32, text: &str) -> Command {
    let end = End::Completed {
        text: text.to_owned(),
        versions: vec![Version::new(1)],
        score: Some("signed".to_owned()),
    };
    Command::Finish { job: job_id("job"), outcome: Arc::new(Outcome { item, end }) }
}

#[test]
fn configuration_with_lower_or_equal_version_is_ignored() {
    let mut state = State::default();
    assert_eq!(apply(&mut state, Command::Configure(document(7, "seven"))), Reply::Done);
    assert_eq!(apply(&mut state, Command::Configure(document(6, "six"))), Reply::Overtaken);
    assert_eq!(apply(&mut state, Command::Configure(document(7, "other"))), Reply::Overtaken);
    assert_eq!(state.document.unwrap().source, "seven");
}

#[test]
fn resubmitted_job_keeps_its_results() {
    let mut state = State::default();
    apply(&mut state, Command::Submit(job("job", 3)));
    apply(&mut state, finish(1, "text"));
    apply(&mut state, Command::Submit(job("job", 3)));
    assert_eq!(state.jobs[&job_id("job")].results.len(), 1);
}

#[test]
fn results_are_append_only() {
    let mut state = State::default();
    apply(&mut state, Command::Submit(job("job", 3)));
    assert_eq!(apply(&mut state, finish(2, "first")), Reply::Done);
    assert_eq!(apply(&mut state, finish(2, "second")), Reply::Overtaken);
    assert_eq!(apply(&mut state, finish(0, "third")), Reply::Done);
    assert_eq!(apply(&mut state, finish(9, "no such item")), Reply::Overtaken);
    let results = &state.jobs[&job_id("job")].results;
    let items: Vec<u32> = results.iter().map(|result| result.item).collect();
    assert_eq!(items, [2, 0]);
    assert!(matches!(&results[0].end, End::Completed { text, .. } if text == "first"));
}

#[test]
fn ended_job_has_no_open_items_and_keeps_its_results() {
    let mut state = State::default();
    apply(&mut state, Command::Submit(job("job", 3)));
    apply(&mut state, finish(0, "text"));
    apply(&mut state, Command::End { job: job_id("job") });
    let record = &state.jobs[&job_id("job")];
    assert!(record.is_done());
    assert_eq!((record.open_items().count(), record.results.len()), (0, 1));
    assert_eq!(apply(&mut state, Command::End { job: job_id("none") }), Reply::UnknownJob);
}

fn counted(source: u128, window: u64, requests: u64) -> Command {
    let counts = vec![Count { team: "team".parse().unwrap(), requests }];
    let (source, window) = (Incarnation::new(source), WindowId::new(window));
    Command::Count(vec![Tally { source, window, counts }])
}

#[test]
fn window_is_closed_once_with_the_largest_counts_of_all_processes() {
    let mut state = State::default();
    apply(&mut state, counted(1, 5, 10));
    apply(&mut state, counted(2, 5, 1));
    apply(&mut state, counted(1, 5, 12));
    // A cumulative count that arrives after a higher one is ignored.
    apply(&mut state, counted(1, 5, 11));
    let close = || Command::CloseWindow { window: WindowId::new(5) };
    assert_eq!(apply(&mut state, close()), Reply::Done);
    apply(&mut state, counted(1, 5, 90));
    assert!(state.counted.is_empty(), "counts of a closed window are not kept");
    assert_eq!(apply(&mut state, close()), Reply::Overtaken);
    assert_eq!(state.windows[&WindowId::new(5)].counts[0].requests, 13);
}

#[test]
fn accepted_report_is_no_longer_unreported() {
    let mut state = State::default();
    apply(&mut state, Command::CloseWindow { window: WindowId::new(5) });
    assert_eq!(state.unreported().count(), 1);
    apply(&mut state, Command::WindowReported { window: WindowId::new(5) });
    assert_eq!(state.unreported().count(), 0);
}

fn advance(item: u32, after: u64, events: std::ops::RangeInclusive<u64>) -> Command {
    let mut progress = Progress::default();
    events.for_each(|event| progress.push(event, format!("e{event}"), Some(Version::new(1))));
    Command::Advance(vec![Advance { job: job_id("job"), item, after, progress }])
}

/// Returns the recorded progress of an item as text.
fn recorded(state: &State, item: usize) -> Option<String> {
    let progress = state.jobs[&job_id("job")].progress(item)?;
    assert_eq!(progress.last_event as usize, progress.text.len());
    Some(progress.text.join(" "))
}

#[test]
fn progress_has_no_gaps_and_is_dropped_with_its_item() {
    let mut state = State::default();
    apply(&mut state, Command::Submit(job("job", 3)));
    apply(&mut state, advance(1, 0, 1..=2));
    apply(&mut state, advance(1, 2, 3..=4));
    assert_eq!(recorded(&state, 1).unwrap(), "e1 e2 e3 e4");
    // Increments that arrive late, or after a lost one, would repeat or skip events.
    apply(&mut state, advance(1, 2, 3..=3));
    apply(&mut state, advance(1, 6, 7..=8));
    assert_eq!(recorded(&state, 1).unwrap(), "e1 e2 e3 e4");
    apply(&mut state, advance(1, 0, 1..=1));
    assert_eq!(recorded(&state, 1).unwrap(), "e1", "a restarted run replaces the progress");
    apply(&mut state, finish(1, "text"));
    apply(&mut state, advance(1, 0, 1..=1));
    apply(&mut state, advance(9, 0, 1..=1));
    assert_eq!((recorded(&state, 1), recorded(&state, 9)), (None, None));
    apply(&mut state, advance(2, 0, 1..=1));
    apply(&mut state, Command::End { job: job_id("job") });
    apply(&mut state, advance(2, 0, 1..=1));
    assert_eq!(recorded(&state, 2), None);
}

/// The fields of the state before zones could be evacuated.
#[derive(serde::Serialize, Default)]
struct EarlierState {
    document: Option<Document>,
    versions: std::collections::BTreeMap<String, Version>,
    jobs: Vec<()>,
    counted: Vec<()>,
    windows: Vec<()>,
    retiring: std::collections::BTreeMap<String, String>,
}

/// Guards against stores that cannot restore their state after an update of the program.
#[test]
fn a_snapshot_without_evacuated_zones_decodes_and_a_truncated_one_does_not() {
    let config = bincode::config::standard();
    let mut earlier =
        EarlierState { document: Some(document(7, "seven")), ..EarlierState::default() };
    earlier.versions.insert("model".to_owned(), Version::new(3));
    earlier.retiring.insert("10.0.0.1".to_owned(), "store-1".to_owned());
    let bytes = bincode::serde::encode_to_vec(&earlier, config).unwrap();
    let (mut state, _): (State, usize) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
    assert_eq!((state.retiring.len(), state.evacuated.len()), (1, 0));
    assert_eq!(state.document.as_ref().unwrap().source, "seven");

    apply(&mut state, Command::Evacuate { zone: "zone-a".parse().unwrap() });
    let bytes = bincode::serde::encode_to_vec(&state, config).unwrap();
    let decode = |bytes: &[u8]| bincode::serde::decode_from_slice::<State, _>(bytes, config);
    assert_eq!(decode(&bytes).unwrap().0, state);
    assert!(decode(&bytes[..bytes.len() - 1]).is_err(), "an evacuation must not be lost");
}

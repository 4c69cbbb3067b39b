//! What is committed stays: configurations, results at their positions, usage windows.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod common;

use catkinlatch_base::{Incarnation, Version, WindowId};
use catkinlatch_ledger::{
    Command, Configuration, Count, Counted, Outcome, Reply, State,
    config::{Document, Limits},
    job::End,
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
fn the_highest_configuration_stays_whatever_comes_later() {
    let mut state = State::default();
    assert_eq!(apply(&mut state, Command::Configure(document(7, "seven"))), Reply::Done);
    assert_eq!(apply(&mut state, Command::Configure(document(6, "six"))), Reply::Overtaken);
    assert_eq!(apply(&mut state, Command::Configure(document(7, "other"))), Reply::Overtaken);
    assert_eq!(state.document.unwrap().source, "seven");
}

#[test]
fn a_job_that_is_handed_in_again_is_the_same() {
    let mut state = State::default();
    apply(&mut state, Command::Submit(job("job", 3)));
    apply(&mut state, finish(1, "text"));
    apply(&mut state, Command::Submit(job("job", 3)));
    assert_eq!(state.jobs[&job_id("job")].results.len(), 1);
}

#[test]
fn a_result_keeps_its_position_and_content() {
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
fn an_ended_job_has_nothing_left_to_run_and_keeps_its_results() {
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
    Command::Count(vec![Counted { source, window, counts }])
}

#[test]
fn a_window_is_closed_once_from_the_largest_counts_of_all_processes() {
    let mut state = State::default();
    apply(&mut state, counted(1, 5, 10));
    apply(&mut state, counted(2, 5, 1));
    apply(&mut state, counted(1, 5, 12));
    // An answer that was overtaken on its way counts for nothing.
    apply(&mut state, counted(1, 5, 11));
    let close = || Command::CloseWindow { window: WindowId::new(5) };
    assert_eq!(apply(&mut state, close()), Reply::Done);
    apply(&mut state, counted(1, 5, 90));
    assert_eq!(apply(&mut state, close()), Reply::Overtaken);
    assert_eq!(state.windows[&WindowId::new(5)].counts[0].requests, 13);
}

#[test]
fn a_report_that_was_taken_is_not_sent_again() {
    let mut state = State::default();
    apply(&mut state, Command::CloseWindow { window: WindowId::new(5) });
    assert_eq!(state.unreported().count(), 1);
    apply(&mut state, Command::WindowReported { window: WindowId::new(5) });
    assert_eq!(state.unreported().count(), 0);
}

//! How long requests may have waited for a process that stood still.

use catkinlatch_base::Instant;
use catkinlatch_entry::arrival::{INTERVAL, Pulse};
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant::from_millis(10_000 + ms)
}

fn beating_until(ms: u64) -> Pulse {
    let mut pulse = Pulse::default();
    (0..=ms).step_by(INTERVAL.as_millis() as usize).for_each(|beat| pulse.beat(at(beat)));
    pulse
}

/// Guards against a request whose time counts from when a process that stood still read it.
#[test]
fn a_request_that_is_read_after_a_standstill_may_have_waited_for_all_of_it() {
    let mut pulse = beating_until(1_000);
    assert_eq!(pulse.waited(at(1_300)), Duration::from_millis(300), "read before the next beat");
    pulse.beat(at(1_300));
    assert_eq!(pulse.waited(at(1_310)), Duration::from_millis(310), "read after the next beat");
}

/// Guards against taking time from callers of a process that runs.
#[test]
fn a_request_that_is_read_while_the_process_runs_has_not_waited() {
    let mut pulse = beating_until(1_000);
    assert_eq!(pulse.waited(at(1_015)), Duration::ZERO);
    assert_eq!(Pulse::default().waited(at(5)), Duration::ZERO);
    pulse.beat(at(1_300));
    (1..=5).for_each(|beat| pulse.beat(at(1_300 + beat * 20)));
    assert_eq!(pulse.waited(at(1_405)), Duration::ZERO, "long after a standstill");
}

/// Guards against a long standstill that is forgotten because a short one follows it.
#[test]
fn a_short_standstill_does_not_end_the_time_for_catching_up() {
    let mut pulse = beating_until(1_000);
    [1_500, 1_520, 1_580, 1_600].into_iter().for_each(|beat| pulse.beat(at(beat)));
    assert_eq!(pulse.waited(at(1_610)), Duration::from_millis(610));
    [1_620, 1_640].into_iter().for_each(|beat| pulse.beat(at(beat)));
    assert!(pulse.waited(at(1_650)) < Duration::from_millis(200));
}

/// Guards against a process with a small share of a processor, whose standstills would add up.
#[test]
fn regular_standstills_do_not_add_up() {
    let mut pulse = beating_until(1_000);
    for period in 0..100 {
        let start = 1_000 + period * 100;
        [60, 80, 100].into_iter().for_each(|beat| pulse.beat(at(start + beat)));
        assert!(pulse.waited(at(start + 105)) < Duration::from_millis(300));
    }
}

/// Guards against requests that are refused at once by a process that is busy, but reads them.
#[test]
fn turns_of_a_busy_process_do_not_add_up() {
    let mut pulse = beating_until(1_000);
    for turn in 1..=60 {
        pulse.beat(at(1_000 + turn * 50));
        assert!(pulse.waited(at(1_000 + turn * 50 + 30)) < Duration::from_millis(300));
    }
}

/// Guards against a process that goes on by what it knew before a long standstill.
#[test]
fn a_long_standstill_is_known_to_the_first_request_that_is_read_after_it() {
    let mut pulse = beating_until(1_000);
    assert_eq!(pulse.resumed(at(1_300)), None, "after a short one");
    assert_eq!(pulse.resumed(at(2_500)), Some(at(2_500)));
    assert_eq!(pulse.resumed(at(2_510)), Some(at(2_500)));
}

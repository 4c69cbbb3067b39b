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

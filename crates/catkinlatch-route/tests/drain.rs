//! Which requests a host that shuts down accepts.

use catkinlatch_base::Instant;
use catkinlatch_route::drain::{Durations, Step, next};
use std::time::Duration;
use test_case::test_case;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test_case(2_000, Some(1_500), None => Step::Run; "its deadline comes first")]
#[test_case(2_000, Some(12_000), None => Step::Refuse; "nothing is known of its duration")]
#[test_case(2_000, None, None => Step::Refuse; "nothing bounds it")]
#[test_case(2_000, Some(12_000), Some(1_900) => Step::Run; "requests like it are short")]
#[test_case(2_000, Some(12_000), Some(2_100) => Step::Refuse; "requests like it are long")]
#[test_case(0, Some(1), Some(1) => Step::Refuse; "the host ends now")]
fn a_request_is_accepted_if_it_can_end_in_time(
    left: u64,
    limit: Option<u64>,
    expected: Option<u64>,
) -> Step {
    next(MS(left), limit.map(MS), expected.map(MS))
}

#[test]
fn the_longest_recent_request_is_what_counts() {
    let (mut durations, start) = (Durations::default(), Instant::ZERO);
    for number in 1..=20 {
        assert_eq!(durations.expected("route", start), None, "{number}");
        durations.record("route", MS(100 * number), start);
    }
    assert_eq!(durations.expected("route", start), Some(MS(3_000)));
    assert_eq!(durations.expected("other", start), None);
    let later = start + Duration::from_secs(70);
    durations.record("route", MS(100), later);
    assert_eq!(durations.expected("route", later), Some(MS(3_000)));
    let much_later = later + Duration::from_secs(70);
    (0..20).for_each(|_| durations.record("route", MS(100), much_later));
    assert_eq!(durations.expected("route", much_later), Some(MS(150)));
    assert_eq!(durations.expected("route", much_later + Duration::from_secs(120)), None);
}

//! Which requests a host that shuts down accepts.

use catkinlatch_route::drain::{Step, next};
use std::time::Duration;
use test_case::test_case;

#[test_case(2_000, Some(1_500) => Step::Run; "its deadline comes first")]
#[test_case(2_000, Some(2_000) => Step::Run; "its deadline is the end")]
#[test_case(2_000, Some(2_001) => Step::Refuse; "its deadline comes later")]
#[test_case(2_000, None => Step::Refuse; "nothing bounds it")]
#[test_case(0, Some(1) => Step::Refuse; "the host ends now")]
fn a_request_is_accepted_if_it_ends_in_time_in_any_case(left: u64, limit: Option<u64>) -> Step {
    next(Duration::from_millis(left), limit.map(Duration::from_millis))
}

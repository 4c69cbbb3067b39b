//! Checks that the examples in docs/INTERFACES.md match the types that the program uses.

use catkinlatch_fleet::usage::Report;
use catkinlatch_node::entry::Refusal;
use catkinlatch_rollout::pool::Group;
use catkinlatch_route::Announcement;
use catkinlatch_state::config::Change;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use test_case::test_case;

const PAGE: &str = include_str!("../docs/INTERFACES.md");

/// Returns the JSON block of the page that is labelled with this name.
fn example(name: &str) -> &'static str {
    let (_, rest) =
        PAGE.split_once(&format!("```json {name}\n")).expect("the page has the example");
    rest.split_once("```").expect("the example is closed").0
}

/// Decodes an example and encodes it again, so that an unknown field makes a difference.
fn round_trip<T: Serialize + DeserializeOwned>(text: &str) -> Value {
    let value: T = serde_json::from_str(text).expect("the example is decoded");
    serde_json::to_value(value).expect("the value is encoded")
}

#[test_case("refusal", round_trip::<Refusal>)]
#[test_case("announcement", round_trip::<Announcement>)]
#[test_case("group", round_trip::<Group>)]
#[test_case("report", round_trip::<Report>)]
#[test_case("change", round_trip::<Change>)]
fn example_matches_the_type(name: &str, decode: fn(&str) -> Value) {
    let expected: Value = serde_json::from_str(example(name)).expect("the example is JSON");
    assert_eq!(decode(example(name)), expected);
}

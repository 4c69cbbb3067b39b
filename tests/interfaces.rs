//! Reads the examples of docs/INTERFACES.md into the types that the program uses.

use catkinlatch_fleet::usage::Report;
use catkinlatch_node::entry::Refusal;
use catkinlatch_rollout::pool::Group;
use catkinlatch_route::Announcement;
use catkinlatch_state::config::Change;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use test_case::test_case;

const PAGE: &str = include_str!("../docs/INTERFACES.md");

/// Returns the example of that name.
fn example(name: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(&format!("```json {name}\n")).expect("the example is there");
    rest.split_once("```").expect("the example ends").0
}

/// Reads an example and writes it again, so that a field that is not known shows.
fn round_trip<T: Serialize + DeserializeOwned>(text: &str) -> Value {
    let value: T = serde_json::from_str(text).expect("the example is read");
    serde_json::to_value(value).expect("the value is written")
}

#[test_case("refusal", round_trip::<Refusal>)]
#[test_case("announcement", round_trip::<Announcement>)]
#[test_case("group", round_trip::<Group>)]
#[test_case("report", round_trip::<Report>)]
#[test_case("change", round_trip::<Change>)]
fn example_is_what_the_program_reads(name: &str, read: fn(&str) -> Value) {
    let written: Value = serde_json::from_str(example(name)).expect("the example is JSON");
    assert_eq!(read(example(name)), written);
}

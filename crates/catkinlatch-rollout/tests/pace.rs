//! Tests of the order of models by need, and of the number of concurrent loads, which the loss of a
//! few engines must not halve.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_rollout::weights::{Want, loads_at_once};
use test_case::test_case;

/// Returns a model with waiting items, engines that may load it, and useful engines among them.
fn want((model, waiting, candidates, useful): (&str, usize, usize, usize)) -> Want {
    Want { model: model.parse().unwrap(), waiting, candidates, useful }
}

#[test_case(&[("a", 44, 4, 3), ("b", 12, 3, 0)], &["b", "a"]; "no engine goes before many items")]
#[test_case(&[("a", 30, 4, 3), ("b", 20, 3, 1)], &["b", "a"]; "more items per engine")]
#[test_case(&[("a", 0, 3, 2), ("b", 1, 3, 3)], &["b", "a"]; "waiting items go before none")]
#[test_case(
    &[("a", 0, 4, 3), ("b", 0, 4, 1)], &["b", "a"];
    "the smaller useful fraction where none wait"
)]
#[test_case(&[("b", 5, 3, 1), ("a", 5, 3, 1)], &["a", "b"]; "by name last")]
fn models_go_by_need(wants: &[(&str, usize, usize, usize)], order: &[&str]) {
    let mut wants: Vec<Want> = wants.iter().copied().map(want).collect();
    wants.sort_by(Want::compare_need);
    let models: Vec<String> = wants.iter().map(|want| want.model.to_string()).collect();
    assert_eq!(models, order);
}

#[test_case(9, 2)]
#[test_case(38, 8)]
#[test_case(36, 7)]
#[test_case(7, 2; "two engines of nine lost")]
#[test_case(6, 2; "three engines of nine lost")]
#[test_case(1, 1)]
#[test_case(0, 1)]
fn lost_engines_do_not_halve_the_loads(engines: usize, loads: usize) {
    assert_eq!(loads_at_once(engines), loads);
}

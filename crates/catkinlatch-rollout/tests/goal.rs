//! Which versions engines load for items that wait.

use catkinlatch_base::Version;
use catkinlatch_rollout::weights::{Demand, Goal, Need};
use test_case::test_case;

/// Returns the goal for the newest version 5 and waiting items by the oldest version they accept.
fn goal(waiting: &[(u64, usize)]) -> Goal {
    let mut demand = Demand::default();
    waiting.iter().for_each(|(min_version, items)| demand.add(Version::new(*min_version), *items));
    Goal::new(Version::new(5), &demand)
}

#[test_case(&[] => (0, 4, 4); "nothing waits")]
#[test_case(&[(5, 80)] => (80, 5, 5); "items need the newest version")]
#[test_case(&[(4, 80)] => (80, 4, 4); "items are one version behind")]
#[test_case(&[(1, 80)] => (80, 1, 1); "items accept much older versions")]
#[test_case(&[(1, 80), (5, 1)] => (81, 5, 1); "one item needs the newest version")]
#[test_case(&[(6, 80)] => (0, 4, 4); "items wait for a version that is not named")]
#[test_case(&[(3, 2), (6, 80)] => (2, 3, 3); "only some wait for a version that is not named")]
fn waiting_items_set_the_versions(waiting: &[(u64, usize)]) -> (usize, u64, u64) {
    let Goal { waiting, required, serving, .. } = goal(waiting);
    (waiting, required.get(), serving.get())
}

#[test_case(&[], Need::Now => Some(4); "next job")]
#[test_case(&[], Need::Ahead => Some(5); "ahead")]
#[test_case(&[(5, 1)], Need::Now => Some(5); "all engines that cannot run an item")]
#[test_case(&[(4, 1)], Need::Now => Some(4); "engines that can run an item go on")]
#[test_case(&[(4, 1)], Need::Ahead => None; "no load ahead while items wait")]
#[test_case(&[(1, 1)], Need::Now => Some(4); "engines that are far behind")]
#[test_case(&[(6, 1)], Need::Ahead => Some(5); "no load helps the items")]
fn engines_load_before_a_version(waiting: &[(u64, usize)], need: Need) -> Option<u64> {
    goal(waiting).load_before(need).map(Version::get)
}

#[test]
fn an_engine_that_can_run_what_waits_is_useful_however_old_its_version_is() {
    assert!(goal(&[(1, 80)]).is_useful(Version::new(1)));
    assert!(!goal(&[(1, 80), (2, 1)]).is_useful(Version::new(1)));
    assert!(!goal(&[]).is_useful(Version::new(3)));
}

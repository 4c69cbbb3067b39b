//! Tests of the assignment of engines to models: by demand, over the zones, with few changes.

#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

use catkinlatch_base::{ModelId, TargetId, ZoneId};
use catkinlatch_rollout::weights::Allotment;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn model(name: &str) -> ModelId {
    name.parse().unwrap()
}

fn engines(count: usize) -> BTreeMap<TargetId, ZoneId> {
    let engine = |number: usize| {
        let zone = format!("zone-{}", number % 3);
        (format!("engine-{number}").parse().unwrap(), zone.parse().unwrap())
    };
    (0..count).map(engine).collect()
}

fn demand(parts: &[(&str, f64)]) -> BTreeMap<ModelId, f64> {
    parts.iter().map(|(name, part)| (model(name), *part)).collect()
}

fn assigned(
    allotment: &Allotment,
    engines: &BTreeMap<TargetId, ZoneId>,
    name: &str,
) -> Vec<TargetId> {
    let is_assigned = |engine: &&TargetId| allotment.contains(engine, &model(name));
    engines.keys().filter(is_assigned).cloned().collect()
}

#[test_case(&[("a", 1.0)], &[9]; "one model gets all engines")]
#[test_case(&[("a", 1.0), ("b", 1.0), ("c", 1.0)], &[3, 3, 3]; "equal demands")]
#[test_case(&[("a", 540.0), ("b", 1152.0), ("c", 1200.0)], &[2, 3, 4]; "by demand")]
#[test_case(&[("a", 0.0), ("b", 1000.0)], &[1, 8]; "at least one engine")]
fn shares_follow_demand(parts: &[(&str, f64)], counts: &[usize]) {
    let engines = engines(9);
    let mut allotment = Allotment::default();
    allotment.update(&engines, &demand(parts), 9);
    let assigned = parts.iter().map(|(name, _)| assigned(&allotment, &engines, name).len());
    assert_eq!(assigned.collect::<Vec<_>>(), counts);
}

#[test]
fn a_model_is_assigned_engines_in_several_zones() {
    let engines = engines(9);
    let mut allotment = Allotment::default();
    allotment.update(&engines, &demand(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]), 9);
    for name in ["a", "b", "c"] {
        let zones: BTreeSet<_> =
            assigned(&allotment, &engines, name).iter().map(|id| engines[id].clone()).collect();
        assert_eq!(zones.len(), 3, "model {name}");
    }
}

#[test]
fn removing_an_engine_moves_few_others() {
    let mut engines = engines(9);
    let demand = demand(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    let mut allotment = Allotment::default();
    allotment.update(&engines, &demand, 9);
    let before: Vec<_> =
        ["a", "b", "c"].iter().map(|n| assigned(&allotment, &engines, n)).collect();
    let removed = before[0][0].clone();
    engines.remove(&removed);
    allotment.update(&engines, &demand, 9);
    let after: Vec<_> = ["a", "b", "c"].iter().map(|n| assigned(&allotment, &engines, n)).collect();
    let pairs = before.iter().zip(&after);
    let moved: usize = pairs.map(|(b, a)| a.iter().filter(|id| !b.contains(id)).count()).sum();
    assert!(moved <= 1, "{moved} engines were assigned to another model");
    assert!(after.iter().all(|assigned| assigned.len() >= 2));
}

#[test]
fn engines_are_assigned_to_several_models_where_loads_allow() {
    let engines = engines(9);
    let mut allotment = Allotment::default();
    allotment.update(&engines, &demand(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]), 18);
    for name in ["a", "b", "c"] {
        assert_eq!(assigned(&allotment, &engines, name).len(), 6, "model {name}");
    }
    let models = |engine: &TargetId| {
        ["a", "b", "c"].iter().filter(|name| allotment.contains(engine, &model(name))).count()
    };
    assert!(engines.keys().all(|engine| models(engine) == 2));
}

#[test]
fn one_model_gets_no_more_assignments_than_engines() {
    let engines = engines(9);
    let mut allotment = Allotment::default();
    allotment.update(&engines, &demand(&[("a", 1.0)]), 30);
    assert_eq!(assigned(&allotment, &engines, "a").len(), 9);
}

/// Guards against a faster assignment that decides differently: each engine taken is one of the
/// fewest models in the zone where the model has the fewest engines.
#[test]
fn engines_are_taken_from_the_least_used_zone_and_engine() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..50 {
        let engines = engines(random.usize(3..120));
        let parts: Vec<(&str, f64)> =
            ["a", "b", "c", "d"].iter().map(|name| (*name, random.f64() * 9.0 + 0.1)).collect();
        let mut allotment = Allotment::default();
        let most = random.usize(1..300);
        allotment.update(&engines, &demand(&parts), most);
        for (name, _) in &parts {
            let assigned = assigned(&allotment, &engines, name);
            let mut zones: BTreeMap<ZoneId, usize> =
                engines.values().map(|zone| (zone.clone(), 0)).collect();
            for engine in &assigned {
                *zones.get_mut(&engines[engine]).unwrap() += 1;
            }
            let (least, greatest) = (zones.values().min().unwrap(), zones.values().max().unwrap());
            let is_full = assigned.len() + zones.len() > engines.len();
            assert!(greatest - least <= engines.len() / 3 || is_full, "{zones:?}");
        }
        let uses = engines.keys().map(|engine| {
            let holds = |name: &&str| allotment.contains(engine, &model(name));
            parts.iter().filter(|(name, _)| holds(name)).count()
        });
        let uses: Vec<usize> = uses.collect();
        let (least, greatest) = (uses.iter().min().unwrap(), uses.iter().max().unwrap());
        assert!(greatest - least <= 2, "{uses:?}");
    }
}

//! An operator who changes the configuration.

use super::{route::configuration, world::World};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long the operator rests between two calls.
const REST: Duration = Duration::from_millis(250);

/// Brings one configuration after another, and reads back which is in force.
pub async fn change_configuration(world: Arc<World>, mut random: fastrand::Rng) {
    let (mut acknowledged, mut version) = (1, 1);
    while !world.stops() {
        if random.bool() {
            version += random.u64(1..4);
            let body = configuration(version);
            let answer = world.control(&mut random, ("PUT", "/config"), &body).await;
            if answer.is_some_and(|answer| answer.status().is_success()) {
                acknowledged = version;
                world.record().configurations += 1;
            }
        }
        let answer = world.control(&mut random, ("GET", "/config"), "").await;
        if let Some(answer) = answer.filter(|answer| answer.status().is_success()) {
            let held: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
            let held = held["version"].as_u64().unwrap_or_default();
            world.record().check(held >= acknowledged, || {
                format!("configuration {held} is in force after {acknowledged} was acknowledged")
            });
        }
        time::sleep(REST).await;
    }
}

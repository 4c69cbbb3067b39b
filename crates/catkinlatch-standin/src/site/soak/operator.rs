//! An operator who changes the configuration.

use super::{context::Context, route::configuration};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Pause of the operator between two rounds.
const PAUSE: Duration = Duration::from_millis(250);

/// Submits configurations with increasing versions, and reads back which one is in force.
///
/// It is a violation if an older version than the last acknowledged one is in force.
pub async fn change_configuration(context: Arc<Context>, mut random: fastrand::Rng) {
    let (mut acknowledged, mut version) = (1, 1);
    while !context.is_stopping() {
        if random.bool() {
            version += random.u64(1..4);
            let body = configuration(version);
            let answer = context.control(&mut random, ("PUT", "/config"), &body).await;
            if answer.is_some_and(|answer| answer.status().is_success()) {
                acknowledged = version;
                context.record().configurations += 1;
            }
        }
        let answer = context.control(&mut random, ("GET", "/config"), "").await;
        if let Some(answer) = answer.filter(|answer| answer.status().is_success()) {
            let in_force: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
            let in_force = in_force["version"].as_u64().unwrap_or_default();
            context.record().check(in_force >= acknowledged, || {
                format!(
                    "configuration {in_force} is in force after {acknowledged} was acknowledged"
                )
            });
        }
        time::sleep(PAUSE).await;
    }
}

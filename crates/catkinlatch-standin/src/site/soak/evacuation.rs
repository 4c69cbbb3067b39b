//! An operator who evacuates zones and restores them, while other faults are injected.

use super::{ZONES, context::Context};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time after the acknowledgement from which nothing may reach the zone: 1 s less than the settings
/// of the platform allow, and enough for a host that was down or suspended to hear the leader.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// How long an evacuated zone is watched.
const WATCH_TIME: Duration = Duration::from_secs(1);

/// Pause between two attempts at a decision.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Evacuates one zone at a time, and restores it, until the test stops.
///
/// It is a violation if anything reaches the zone's targets between [`SETTLE_TIME`] after the
/// acknowledgement and its restoration.
pub async fn evacuate_zones(context: Arc<Context>, mut random: fastrand::Rng) {
    while !context.is_stopping() {
        time::sleep(Duration::from_millis(random.u64(200..1_500))).await;
        let zone = ZONES[random.usize(..ZONES.len())];
        decide(&context, &mut random, "POST", zone).await;
        time::sleep(SETTLE_TIME).await;
        let before = runs(&context, zone);
        time::sleep(WATCH_TIME).await;
        let late = runs(&context, zone) - before;
        context.record().evacuations += 1;
        context
            .record()
            .check(late == 0, || format!("{late} requests reached {zone} while evacuated"));
        decide(&context, &mut random, "DELETE", zone).await;
    }
}

/// Repeats a decision at random hosts until it is acknowledged.
async fn decide(context: &Context, random: &mut fastrand::Rng, method: &str, zone: &str) {
    let path = format!("/evacuate/{zone}");
    loop {
        let answer = context.control(random, (method, &path), "").await;
        if answer.is_some_and(|answer| answer.status().is_success()) {
            return;
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Returns how many requests have reached the targets of a zone.
fn runs(context: &Context, zone: &str) -> usize {
    let services = context.services.iter().filter(|service| service.target.zone == zone);
    let engines = context.engines.iter().filter(|engine| engine.target.zone == zone);
    let services: usize = services.map(|service| service.total_runs()).sum();
    services + engines.map(|engine| engine.total_runs()).sum::<usize>()
}

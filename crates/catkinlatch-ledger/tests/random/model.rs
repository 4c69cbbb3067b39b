//! What items and engines of the randomised runs are.

use catkinlatch_base::{GroupId, JobId, ModelId, Version};
use catkinlatch_ledger::{Item, Job, job::Progress, schedule::Engine};
use std::{collections::BTreeMap, sync::Arc};

pub fn model() -> ModelId {
    "model".parse().unwrap()
}

/// A job of some items, a few of which can never be done.
pub fn job(
    number: u64,
    wall_ms: u64,
    min_version: u64,
    is_single_version: bool,
    random: &mut fastrand::Rng,
) -> Arc<Job> {
    let carried = if random.bool() { number } else { number.saturating_sub(1) };
    let item = |position: u64, length: u64| Item {
        id: format!("job-{number}-{position}-{length}").parse().unwrap(),
        path: "/drafts/1".to_owned(),
        headers: Vec::new(),
        body: "body".into(),
        group: Some(format!("group-{carried}-{}", position / 2).parse::<GroupId>().unwrap()),
        expected_tokens: length,
        most_tokens: 2 * length,
        scorer: None,
    };
    let count = random.u64(1..7);
    Arc::new(Job {
        id: format!("job-{number}").parse::<JobId>().unwrap(),
        team: None,
        host: "drafts.example".to_owned(),
        service: "drafts".parse().unwrap(),
        priority: random.u8(..3),
        step: Some(number),
        model: Some(model()),
        min_version: Some(Version::new(min_version)),
        wanted_groups: None,
        is_single_version,
        max_attempts: random.u32(1..5),
        submitted_ms: wall_ms,
        due_ms: wall_ms + 7_500,
        give_up_ms: Some(wall_ms + random.u64(10_000..60_000)),
        items: (0..count).map(|position| item(position, random.u64(..40))).collect(),
    })
}

/// Returns how many events an item has; one of none can never be done.
pub fn events(item: &Item) -> u64 {
    item.expected_tokens
}

/// Returns the data of an event, which tells its item, place and version.
pub fn event(item: &Item, number: u64, version: Version) -> String {
    format!("{}/{number}@{version}", item.id)
}

/// Adds the next event of an item, made by a version.
pub fn generate(item: &Item, progress: &mut Progress, version: Version) {
    let number = progress.last_event + 1;
    progress.push(number, event(item, number, version), Some(version));
}

pub fn engine(number: usize, slots: u32) -> Engine {
    Engine {
        id: format!("engine-{number}").parse().unwrap(),
        service: "drafts".parse().unwrap(),
        slots,
        slowness: 1.0,
        models: BTreeMap::from([(model(), Version::new(1))]),
    }
}

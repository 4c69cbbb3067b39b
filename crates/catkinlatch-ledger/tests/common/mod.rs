//! Jobs that several tests use.

use catkinlatch_base::JobId;
use catkinlatch_ledger::{Item, Job};
use std::sync::Arc;

pub fn job_id(name: &str) -> JobId {
    name.parse().unwrap()
}

/// Returns a job whose items are each expected to generate 100 tokens, in groups of two.
pub fn job(name: &str, items: usize) -> Arc<Job> {
    let item = |number: usize| Item {
        id: format!("{name}-{number}").parse().unwrap(),
        path: "/drafts/1".to_owned(),
        headers: Vec::new(),
        body: "body".into(),
        group: Some(format!("group-{}", number / 2).parse().unwrap()),
        expected_tokens: 100,
        most_tokens: 500,
        scorer: None,
    };
    Arc::new(Job {
        id: job_id(name),
        team: None,
        host: "drafts.example".to_owned(),
        service: "drafts".parse().unwrap(),
        priority: 1,
        step: None,
        model: Some("model".parse().unwrap()),
        min_version: None,
        wanted_groups: None,
        is_single_version: false,
        max_attempts: 3,
        submitted_ms: 0,
        due_ms: 7_500,
        give_up_ms: Some(40_000),
        items: (0..items).map(item).collect(),
    })
}

//! Trainers that submit jobs and read their results.

use super::{NEWER_BUILD, context::Context};
use crate::site::{engine::event_data, target::FIRST_BUILD};
use bytes::Bytes;
use http::{Response, StatusCode};
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Pause of a trainer before it sends a request again.
const PAUSE: Duration = Duration::from_millis(40);

/// How many versions behind the newest the weights of a sample may be.
const MAX_AGE_VERSIONS: u64 = 1;

/// A refused job is not submitted again with a probability of one in this number.
const GIVE_UP_ONE_IN: u32 = 3;

/// Submits jobs, one at a time, and reads all results of each.
///
/// Only trainer 0 publishes versions and requires new ones.
pub async fn train(context: Arc<Context>, trainer: usize, mut random: fastrand::Rng) {
    let mut version = 1;
    for step in 0_u64.. {
        if context.is_stopping() {
            return;
        }
        if trainer == 0 && random.bool() {
            version = publish_version(&context, version + 1, &mut random).await;
        }
        let id = format!("job-{trainer}-{step}");
        let job = Job {
            min_version: if trainer == 0 { version.saturating_sub(MAX_AGE_VERSIONS) } else { 1 },
            items: random.usize(2..9),
            id,
        };
        if job.submit(&context, &mut random).await {
            job.read(&context, &mut random).await;
        }
    }
}

/// Publishes a version, with retries until it is acknowledged, and returns it.
async fn publish_version(context: &Context, version: u64, random: &mut fastrand::Rng) -> u64 {
    let body = json!({"model": "model", "version": version}).to_string();
    loop {
        let answer = context.control(random, ("POST", "/version-put"), &body).await;
        if answer.is_some_and(|answer| answer.status().is_success()) {
            return version;
        }
        time::sleep(PAUSE).await;
    }
}

/// A job as its trainer submits it.
struct Job {
    id: String,
    min_version: u64,
    items: usize,
}

impl Job {
    /// Submits the job until it is accepted; returns false if it was refused and is given up.
    ///
    /// The job is given up only while every answer was a refusal, since after any other outcome it
    /// may have been accepted.
    async fn submit(&self, context: &Context, random: &mut fastrand::Rng) -> bool {
        let body = self.body();
        let path = format!("/drafts/{}", self.id);
        let mut may_be_accepted = false;
        loop {
            let answer = context.fetch(random, ("POST", &path), &self.id, &body).await;
            match answer.map(|answer| answer.status()) {
                Some(StatusCode::ACCEPTED) => {
                    context.record().jobs += 1;
                    return true;
                }
                Some(StatusCode::SERVICE_UNAVAILABLE) if !may_be_accepted => {
                    if random.u32(..GIVE_UP_ONE_IN) == 0 {
                        context.record().refused_jobs.insert(self.id.clone());
                        return false;
                    }
                }
                _ => may_be_accepted = true,
            }
            time::sleep(PAUSE).await;
        }
    }

    fn body(&self) -> String {
        let item = |number: usize| {
            let id = format!("{}-{number}", self.id);
            json!({"id": id, "path": format!("/drafts/{number}"),
                   "headers": {"Model": "model", "Token-Count": "10,50"}, "body": "Ym9keQ==",
                   "tokens": 60, "group": format!("{}-group-{}", self.id, number / 2),
                   "scorer": {"id": format!("{id}-score"), "host": "site.example",
                              "path": "/score/1", "body": "c2NvcmU="}})
        };
        let items: Vec<Value> = (0..self.items).map(item).collect();
        json!({"step": 1, "model": "model", "min_version": self.min_version, "group_count": 1,
               "items": items})
        .to_string()
    }

    /// Reads the results through random hosts until all have arrived, then deletes the job.
    async fn read(&self, context: &Context, random: &mut fastrand::Rng) {
        let mut seen: Vec<Value> = Vec::new();
        while seen.len() < self.items {
            let after = random.usize(..=seen.len());
            let path = format!("/lots/{}?after={after}", self.id);
            let answer = context.fetch(random, ("GET", &path), "", "").await;
            if !answer.is_some_and(|answer| self.record_results(context, answer, after, &mut seen))
            {
                time::sleep(PAUSE).await;
            }
        }
        let path = format!("/lots/{}", self.id);
        let _ = context.fetch(random, ("DELETE", &path), "", "").await;
    }

    /// Checks the results of an answer, which start at position `after`, and appends new ones to
    /// `seen`; returns false if the answer has none.
    fn record_results(
        &self,
        context: &Context,
        answer: Response<Bytes>,
        after: usize,
        seen: &mut Vec<Value>,
    ) -> bool {
        let events = context.engines[0].state().events;
        let mut record = context.record();
        record.check(answer.status() != StatusCode::NOT_FOUND, || {
            format!("{} was accepted, but is unknown", self.id)
        });
        if answer.status() != StatusCode::OK {
            return false;
        }
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let results = body["results"].as_array().cloned().unwrap_or_default();
        let has_any = !results.is_empty();
        for (position, result) in (after..).zip(results) {
            if let Some(first) = seen.get(position) {
                record.check(*first == result, || {
                    format!("{} at position {position} was {first} and is now {result}", self.id)
                });
                continue;
            }
            record.results += 1;
            if let Some(violation) = self.violation(&result, events) {
                record.violation(violation);
            }
            let is_listed = seen.iter().any(|other| other["id"] == result["id"]);
            record.check(!is_listed, || format!("{result} is listed twice"));
            seen.push(result);
        }
        has_any
    }

    /// Returns a description of the violation if a result is wrong: it must have the complete text
    /// of its item by one build, the item's score, and only versions that are new enough.
    fn violation(&self, result: &Value, events: u64) -> Option<String> {
        let id = result["id"].as_str().unwrap_or_default();
        let text_of = |build: &str| -> String {
            let data: Vec<String> =
                (1..=events).map(|event| event_data(id, event, build)).collect();
            data.join("\n")
        };
        let texts = [FIRST_BUILD, NEWER_BUILD].map(text_of);
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let is_fresh =
            |version: &Value| version.as_u64().is_some_and(|made| made >= self.min_version);
        let holds = id.starts_with(&format!("{}-", self.id))
            && result["state"] == "completed"
            && texts.iter().any(|text| result["text"] == *text)
            && result["score"] == format!("seal-of-{id}-score")
            && !versions.is_empty()
            && versions.iter().all(is_fresh);
        (!holds)
            .then(|| format!("{} with minimum version {} got {result}", self.id, self.min_version))
    }
}

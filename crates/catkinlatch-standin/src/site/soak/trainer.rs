//! Trainers, who hand in jobs and read their results.

use super::world::World;
use bytes::Bytes;
use http::{Response, StatusCode};
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long a trainer rests before it asks again.
const REST: Duration = Duration::from_millis(40);

/// How many versions behind the newest a sample may be.
const STALENESS: u64 = 1;

/// One of how many refused jobs is not handed in again.
const GIVEN_UP: u32 = 3;

/// Hands in jobs one after another, each read to its end.
pub async fn train(world: Arc<World>, trainer: usize, mut random: fastrand::Rng) {
    let mut version = 1;
    for step in 0_u64.. {
        if world.stops() {
            return;
        }
        if trainer == 0 && random.bool() {
            version = name_version(&world, version + 1, &mut random).await;
        }
        let id = format!("job-{trainer}-{step}");
        let job = Job {
            least: if trainer == 0 { version.saturating_sub(STALENESS) } else { 1 },
            items: random.usize(2..9),
            id,
        };
        if job.submit(&world, &mut random).await {
            job.read(&world, &mut random).await;
        }
    }
}

/// Names a version until that is acknowledged.
async fn name_version(world: &World, version: u64, random: &mut fastrand::Rng) -> u64 {
    let body = json!({"model": "model", "version": version}).to_string();
    loop {
        let answer = world.control(random, ("POST", "/version-put"), &body).await;
        if answer.is_some_and(|answer| answer.status().is_success()) {
            return version;
        }
        time::sleep(REST).await;
    }
}

/// A job as its trainer knows it.
struct Job {
    id: String,
    least: u64,
    items: usize,
}

impl Job {
    /// Hands it in until it is accepted; returns false if it was refused and is given up.
    async fn submit(&self, world: &World, random: &mut fastrand::Rng) -> bool {
        let body = self.body();
        let path = format!("/drafts/{}", self.id);
        let mut may_be_taken = false;
        loop {
            let answer = world.ask(random, ("POST", &path), &self.id, &body).await;
            match answer.map(|answer| answer.status()) {
                Some(StatusCode::ACCEPTED) => {
                    world.record().jobs += 1;
                    return true;
                }
                Some(StatusCode::SERVICE_UNAVAILABLE) if !may_be_taken => {
                    if random.u32(..GIVEN_UP) == 0 {
                        world.record().refused_jobs.insert(self.id.clone());
                        return false;
                    }
                }
                _ => may_be_taken = true,
            }
            time::sleep(REST).await;
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
        json!({"step": 1, "model": "model", "min_version": self.least, "group_count": 1,
               "items": items})
        .to_string()
    }

    /// Reads its results from changing hosts until all are there, then ends it.
    async fn read(&self, world: &World, random: &mut fastrand::Rng) {
        let mut seen: Vec<Value> = Vec::new();
        while seen.len() < self.items {
            let after = random.usize(..=seen.len());
            let path = format!("/lots/{}?after={after}", self.id);
            let answer = world.ask(random, ("GET", &path), "", "").await;
            if !answer.is_some_and(|answer| self.take(world, answer, after, &mut seen)) {
                time::sleep(REST).await;
            }
        }
        let path = format!("/lots/{}", self.id);
        let _ = world.ask(random, ("DELETE", &path), "", "").await;
    }

    /// Takes the results from a position on; returns false if the answer holds none.
    fn take(
        &self,
        world: &World,
        answer: Response<Bytes>,
        after: usize,
        seen: &mut Vec<Value>,
    ) -> bool {
        let events = world.engines[0].memory().events;
        let mut record = world.record();
        record.check(answer.status() != StatusCode::NOT_FOUND, || {
            format!("{} was accepted and is unknown", self.id)
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
                    format!("{} at {position} was {first} and is {result}", self.id)
                });
                continue;
            }
            record.results += 1;
            if let Some(fault) = self.fault(&result, events) {
                record.violation(fault);
            }
            let is_listed = seen.iter().any(|other| other["id"] == result["id"]);
            record.check(!is_listed, || format!("{result} is listed twice"));
            seen.push(result);
        }
        has_any
    }

    /// Returns what is wrong with a result: it must be its item's whole text, scored, and made by
    /// versions that are new enough.
    fn fault(&self, result: &Value, events: u64) -> Option<String> {
        let id = result["id"].as_str().unwrap_or_default();
        let text: Vec<String> = (1..=events).map(|event| format!("{id} event {event}")).collect();
        let versions = result["versions"].as_array().cloned().unwrap_or_default();
        let is_fresh = |version: &Value| version.as_u64().is_some_and(|made| made >= self.least);
        let holds = id.starts_with(&format!("{}-", self.id))
            && result["state"] == "completed"
            && result["text"] == text.join("\n")
            && result["score"] == format!("seal-of-{id}-score")
            && !versions.is_empty()
            && versions.iter().all(is_fresh);
        (!holds).then(|| format!("{} with versions from {} got {result}", self.id, self.least))
    }
}

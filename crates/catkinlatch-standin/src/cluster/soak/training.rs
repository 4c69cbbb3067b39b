//! A trainer that works through random hosts.

use crate::{client::Client, cluster::Cluster};
use catkinlatch_base::{BatchNumber, GroupId, Version};
use catkinlatch_rollout::pool::{Group, Sample};
use catkinlatch_state::config::Secret;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;
use tokio::{sync::watch, time};

/// Timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Number of samples in a group, and also in a batch.
const GROUP_SAMPLES: u32 = 4;

/// A batch as the trainer receives it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Batch {
    /// The number of the batch; the first is 1.
    pub number: BatchNumber,
    /// The samples in the order of the answer.
    pub samples: Vec<Sample>,
}

/// What the trainer received.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The batches, each with the newest version that was published when it was requested.
    pub batches: Vec<(Batch, Version)>,
    /// The numbers of batches that differed when they were requested a second time.
    pub changed_batches: Vec<BatchNumber>,
}

/// A trainer that posts groups, fetches batches and publishes versions.
pub struct Training {
    clients: Vec<Client>,
    random: fastrand::Rng,
    groups: u64,
}

impl Training {
    /// Creates a trainer with a key of its team.
    pub fn new(cluster: &Cluster, secret: &Secret, seed: u64) -> Self {
        let client = |address| Client::new(address).with_key(secret.reveal());
        let clients = cluster.addresses().into_iter().map(client).collect();
        Self { clients, random: fastrand::Rng::with_seed(seed ^ 0x7261), groups: 0 }
    }

    /// Posts groups, fetches batches and publishes versions until the test stops.
    pub async fn run(mut self, stopped: watch::Receiver<bool>) -> Outcome {
        let mut outcome = Outcome::default();
        let mut version = Version::new(1);
        self.publish(version, &stopped).await;
        while !*stopped.borrow() {
            self.post_group(&stopped).await;
            self.post_group(&stopped).await;
            let number = BatchNumber::new(outcome.batches.len() as u64 + 1);
            let Some(batch) = self.fetch_batch(number, &stopped).await else { continue };
            if let Some(again) = self.fetch_batch(number, &stopped).await
                && again != batch
            {
                outcome.changed_batches.push(number);
            }
            outcome.batches.push((batch, version));
            version = version.next();
            self.publish(version, &stopped).await;
        }
        outcome
    }

    async fn publish(&mut self, version: Version, stopped: &watch::Receiver<bool>) {
        let publication = json!({ "version": version });
        self.post_until_accepted("/v1/trainers/defects/versions", &publication, stopped).await;
    }

    async fn post_group(&mut self, stopped: &watch::Receiver<bool>) {
        self.groups += 1;
        let id: GroupId = format!("group-{}", self.groups).parse().expect("the id is valid");
        let prompts = (0..GROUP_SAMPLES).map(|n| format!("describe defect {n}")).collect();
        let group = Group { id, prompts, max_tokens: self.random.u32(4..40) };
        self.post_until_accepted("/v1/trainers/defects/groups", &group, stopped).await;
    }

    async fn post_until_accepted(
        &mut self,
        path: &str,
        document: &impl serde::Serialize,
        stopped: &watch::Receiver<bool>,
    ) {
        while !*stopped.borrow() {
            let host = self.random.usize(..self.clients.len());
            let response = self.clients[host].post(path, document);
            match time::timeout(ANSWER_TIMEOUT, response).await {
                Ok(Ok(answer)) if answer.status().is_success() => return,
                Ok(Ok(answer)) => {
                    let body = String::from_utf8_lossy(answer.body()).into_owned();
                    log::debug!("soak: {path} through host {}: {body}", host + 1);
                }
                Ok(Err(_)) | Err(_) => {}
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn fetch_batch(
        &mut self,
        number: BatchNumber,
        stopped: &watch::Receiver<bool>,
    ) -> Option<Batch> {
        let path = format!("/v1/trainers/defects/batches/{number}");
        while !*stopped.borrow() {
            let host = self.random.usize(..self.clients.len());
            let response = self.clients[host].get::<Batch>(&path);
            match time::timeout(ANSWER_TIMEOUT, response).await {
                Ok(Ok(batch)) => return Some(batch),
                Ok(Err(error)) => log::debug!("soak: through host {}: {error}", host + 1),
                Err(_) => {}
            }
            time::sleep(RETRY_PAUSE).await;
        }
        None
    }
}

//! A trainer that takes batches through any host.

use crate::{client::Client, cluster::Cluster};
use catkinlatch_base::{BatchNumber, GroupId, Version};
use catkinlatch_rollout::pool::{Group, Sample};
use catkinlatch_state::config::Secret;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;
use tokio::{sync::watch, time};

/// How long the trainer waits for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the trainer rests after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How many samples a group holds, which is how many a batch does.
const GROUP_SAMPLES: u32 = 4;

/// A batch as the trainer reads it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Batch {
    /// Its number.
    pub number: BatchNumber,
    /// The samples.
    pub samples: Vec<Sample>,
}

/// What the trainer got.
#[derive(Clone, Debug, Default)]
pub struct Trained {
    /// The batches, each with the newest version that was published when it was asked for.
    pub batches: Vec<(Batch, Version)>,
    /// Batches that came back different when they were asked for again.
    pub changed: Vec<BatchNumber>,
}

/// A trainer that posts groups, takes batches and publishes versions.
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

    /// Trains until the soak stops.
    pub async fn run(mut self, stopped: watch::Receiver<bool>) -> Trained {
        let mut trained = Trained::default();
        let mut version = Version::new(1);
        self.publish(version, &stopped).await;
        while !*stopped.borrow() {
            self.post_group(&stopped).await;
            self.post_group(&stopped).await;
            let number = BatchNumber::new(trained.batches.len() as u64 + 1);
            let Some(batch) = self.take(number, &stopped).await else { continue };
            if let Some(again) = self.take(number, &stopped).await
                && again != batch
            {
                trained.changed.push(number);
            }
            trained.batches.push((batch, version));
            version = version.next();
            self.publish(version, &stopped).await;
        }
        trained
    }

    async fn publish(&mut self, version: Version, stopped: &watch::Receiver<bool>) {
        let publication = json!({ "version": version });
        self.post_until_taken("/v1/trainers/defects/versions", &publication, stopped).await;
    }

    async fn post_group(&mut self, stopped: &watch::Receiver<bool>) {
        self.groups += 1;
        let id: GroupId = format!("group-{}", self.groups).parse().expect("the id is valid");
        let prompts = (0..GROUP_SAMPLES).map(|n| format!("describe defect {n}")).collect();
        let group = Group { id, prompts, max_tokens: self.random.u32(4..40) };
        self.post_until_taken("/v1/trainers/defects/groups", &group, stopped).await;
    }

    async fn post_until_taken(
        &mut self,
        path: &str,
        document: &impl serde::Serialize,
        stopped: &watch::Receiver<bool>,
    ) {
        while !*stopped.borrow() {
            let host = self.random.usize(..self.clients.len());
            let posting = self.clients[host].post(path, document);
            match time::timeout(ANSWER_TIMEOUT, posting).await {
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

    async fn take(
        &mut self,
        number: BatchNumber,
        stopped: &watch::Receiver<bool>,
    ) -> Option<Batch> {
        let path = format!("/v1/trainers/defects/batches/{number}");
        while !*stopped.borrow() {
            let host = self.random.usize(..self.clients.len());
            let asking = self.clients[host].get::<Batch>(&path);
            match time::timeout(ANSWER_TIMEOUT, asking).await {
                Ok(Ok(batch)) => return Some(batch),
                Ok(Err(error)) => log::debug!("soak: through host {}: {error}", host + 1),
                Err(_) => {}
            }
            time::sleep(RETRY_PAUSE).await;
        }
        None
    }
}

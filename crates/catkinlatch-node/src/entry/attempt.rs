//! A request in flight on a target.

use super::{AuthorizedRequest, Code, Ran, Refusal, dispatch::selector, retry::Failure};
use crate::Node;
use catkinlatch_base::{BootId, TargetId};
use catkinlatch_route::{Key, retry::Effect};
use catkinlatch_state::{
    Command, Reply,
    suspect::{Change, Fingerprint, Reply as Verdict, Trial},
};
use std::{sync::Arc, time::Duration};

/// Pause before a suspect requests a trial run again.
const TRIAL_PAUSE: Duration = Duration::from_millis(100);

/// An attempt to run a request on a target; counts as in flight until dropped.
pub struct Attempt {
    /// The id of the target.
    pub target: TargetId,
    /// The address at which the target takes requests.
    pub address: String,
    /// Whether this is a trial run of a suspect, a request that may crash targets.
    pub is_suspect: bool,
    /// The key of the target in the target table.
    pub key: Key,
    /// The start of the target that received the request.
    pub boot: BootId,
    node: Arc<Node>,
}

impl Attempt {
    /// Chooses a target, preferring those that are not in `tried`.
    ///
    /// A suspect waits for a target that runs no other suspect.
    ///
    /// # Errors
    ///
    /// Returns a failure if no target serves the route, the suspect is not run again, or the
    /// deadline would pass before it gets a target.
    pub async fn begin(
        node: &Arc<Node>,
        authorized: &AuthorizedRequest,
        fingerprint: Fingerprint,
        tried: &[Key],
    ) -> Result<Self, Failure> {
        loop {
            let mut chosen = Self::choose(node, authorized, tried)?;
            let state = node.control.state();
            if state.suspects().get(&fingerprint).is_none() {
                return Ok(chosen);
            }
            match chosen.request_trial(authorized, fingerprint).await {
                Some(Verdict::Granted) => {
                    log::info!(
                        "entry: started a trial run of a suspect on target {}",
                        chosen.target
                    );
                    chosen.is_suspect = true;
                    return Ok(chosen);
                }
                Some(Verdict::NotSuspect) => return Ok(chosen),
                Some(Verdict::Refused) => return Err(suspect_refused(authorized)),
                Some(Verdict::Busy | Verdict::Done) | None => drop(chosen),
            }
            if node.clock.now() + TRIAL_PAUSE >= authorized.deadline {
                return Err(trial_unavailable(authorized));
            }
            tokio::time::sleep(TRIAL_PAUSE).await;
        }
    }

    fn choose(
        node: &Arc<Node>,
        authorized: &AuthorizedRequest,
        tried: &[Key],
    ) -> Result<Self, Failure> {
        let now = node.clock.now();
        let mut avoided = tried.to_vec();
        avoided.extend(trial_targets(node));
        let mut table = node.table();
        let key = table.choose(&selector(&authorized.route), &avoided, now);
        let found = key.and_then(|key| table.get(key).map(|entry| (key, entry)));
        let Some((key, entry)) = found else {
            let message = "no target serves this route now; retry in a moment";
            let refusal = Refusal::not_run(authorized.request.clone(), Code::NoTarget, message);
            return Err(Failure::unsent(refusal.with_retry_after_ms(1000)));
        };
        let announcement = entry.announcement.clone();
        table.begin(key);
        drop(table);
        let (target, address, boot) = (announcement.id, announcement.address, announcement.boot);
        Ok(Self { target, address, is_suspect: false, key, boot, node: node.clone() })
    }

    /// Proposes a trial run of a suspect on the target; `None` if the outcome is unknown.
    async fn request_trial(
        &self,
        authorized: &AuthorizedRequest,
        fingerprint: Fingerprint,
    ) -> Option<Verdict> {
        let now_ms = self.node.clock.wall_ms();
        let left = authorized.deadline.saturating_duration_since(self.node.clock.now());
        let trial = Trial {
            target: self.target.clone(),
            node: self.node.incarnation,
            until_ms: now_ms + u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 2),
        };
        propose_suspect(&self.node, Change::StartTrial { fingerprint, trial, now_ms }).await
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.node.table().end(self.key);
    }
}

/// Proposes a change of the suspects; `None` if the control log did not confirm it.
pub async fn propose_suspect(node: &Node, change: Change) -> Option<Verdict> {
    match node.control.propose(Command::Suspect(change)).await {
        Ok(Reply::Suspect(verdict)) => Some(verdict),
        Ok(_) | Err(_) => None,
    }
}

/// Returns the failure of a request that crashed too many targets.
pub fn suspect_refused(authorized: &AuthorizedRequest) -> Failure {
    let message = "this request crashed two targets and is not run again; ask your operator";
    Failure::unsent(Refusal::not_run(authorized.request.clone(), Code::Suspect, message))
}

/// Returns the targets that are running a suspect.
fn trial_targets(node: &Node) -> Vec<Key> {
    let state = node.control.state();
    if state.suspects().list().is_empty() {
        return Vec::new();
    }
    let now_ms = node.clock.wall_ms();
    let table = node.table();
    let holds = |id: &TargetId| state.suspects().is_trial_target(id, now_ms);
    table.entries().filter(|(_, e)| holds(&e.announcement.id)).map(|(key, _)| key).collect()
}

fn trial_unavailable(authorized: &AuthorizedRequest) -> Failure {
    let message = "this request may crash targets and waits for a run of its own; retry later";
    let refusal = Refusal::not_run(authorized.request.clone(), Code::Overloaded, message);
    Failure::unsent(refusal.with_retry_after_ms(1000))
}

/// Returns the failure of an attempt whose target did not answer before the deadline.
pub fn timed_out(authorized: &AuthorizedRequest, attempt: Attempt) -> Failure {
    let message = "the target did not answer before the route's deadline";
    let refusal = Refusal::not_run(authorized.request.clone(), Code::Deadline, message);
    let refusal = refusal.with_ran(Ran::Maybe).into();
    Failure { effect: Effect::MayHaveRun, refusal, attempt: Some(attempt), broken: false }
}

//! Retries of one request on different targets.

use super::{
    AuthorizedRequest, Code, Ran, Refusal,
    attempt::{self, Attempt},
    digest,
    dispatch::Call,
};
use crate::Node;
use catkinlatch_route::{
    Key,
    retry::{Effect, Plan, Step},
};
use catkinlatch_state::suspect::{Change, Fingerprint};
use std::sync::Arc;

/// A failed attempt.
pub struct Failure {
    /// Whether the request may have run.
    pub effect: Effect,
    /// The error response for the caller if there is no further attempt.
    pub refusal: Box<Refusal>,
    /// The attempt; `None` if no target was chosen or the request could not be built.
    pub attempt: Option<Attempt>,
    /// Whether the connection broke while the request was in flight.
    pub broken: bool,
}

impl Failure {
    /// Creates the failure of an attempt that sent nothing to a target.
    pub fn unsent(refusal: Refusal) -> Self {
        Self { effect: Effect::Unsent, refusal: refusal.into(), attempt: None, broken: false }
    }
}

/// The attempts of one request so far, and the rule for further ones.
pub struct Retrier {
    plan: Plan,
    tried: Vec<Key>,
    fingerprint: Fingerprint,
}

impl Retrier {
    /// Creates the state before the first attempt, which adds to the route's retry budget.
    pub fn new(node: &Node, authorized: &AuthorizedRequest, call: &Call) -> Self {
        node.admission.record_first_attempt(&authorized.route.id, node.clock.now());
        let plan = Plan::new(authorized.route.idempotent, authorized.deadline);
        Self { plan, tried: Vec::new(), fingerprint: digest::fingerprint(authorized, call) }
    }

    /// Chooses a target for the next attempt.
    pub async fn begin(
        &self,
        node: &Arc<Node>,
        authorized: &AuthorizedRequest,
    ) -> Result<Attempt, Failure> {
        if node.control.state().suspects().is_refused(&self.fingerprint) {
            return Err(attempt::suspect_refused(authorized));
        }
        Attempt::begin(node, authorized, self.fingerprint, &self.tried).await
    }

    /// Records that a target answered; clears the request if it ran as a suspect.
    pub async fn record_success(&self, node: &Node, attempt: &Attempt) {
        if attempt.is_suspect {
            let fingerprint = self.fingerprint;
            attempt::propose_suspect(node, Change::Clear { fingerprint }).await;
        }
    }

    /// Records a failed attempt and waits for the backoff before the next one.
    ///
    /// # Errors
    ///
    /// Returns the error response for the caller if there is no further attempt.
    pub async fn handle_failure(
        &mut self,
        node: &Node,
        authorized: &AuthorizedRequest,
        failure: Failure,
    ) -> Result<(), Box<Refusal>> {
        let Failure { effect, refusal, attempt, broken } = failure;
        let recorded = match attempt {
            Some(attempt) => self.record_failure(node, attempt, broken).await,
            None => true,
        };
        let now = node.clock.now();
        let step = node.admission.after_failure(&authorized.route.id, &mut self.plan, effect, now);
        match step {
            Step::Retry(pause) if recorded && refusal.code != Code::Suspect => {
                tokio::time::sleep(pause).await;
                Ok(())
            }
            Step::Retry(_) | Step::GiveUp => Err(self.final_refusal(*refusal).into()),
        }
    }

    /// Records a failed attempt that is not retried, and returns the error response.
    pub async fn give_up(&mut self, node: &Node, failure: Failure) -> Box<Refusal> {
        if let Some(attempt) = failure.attempt {
            self.record_failure(node, attempt, failure.broken).await;
        }
        failure.refusal
    }

    /// Records that the response of a target is no longer needed.
    pub async fn abandon(&mut self, node: &Node, attempt: Attempt) {
        self.record_failure(node, attempt, false).await;
    }

    /// Records a failed attempt; returns `false` if a crash could not be recorded in the control
    /// log.
    ///
    /// A target whose connection broke is presumed crashed until it announces itself again.
    async fn record_failure(&mut self, node: &Node, attempt: Attempt, broken: bool) -> bool {
        self.tried.push(attempt.key);
        let fingerprint = self.fingerprint;
        if broken {
            log::warn!(
                "entry: connection to target {} broke with a request in flight",
                attempt.target
            );
            if !node.control.state().suspects().counts_crash(&fingerprint, attempt.is_suspect) {
                return true;
            }
            let boot = attempt.boot.clone();
            node.admission.watch_target(attempt.target.clone(), boot.clone(), node.clock.now());
            let (fingerprints, at_ms) = (vec![fingerprint], node.clock.wall_ms());
            let change = Change::Crashed { fingerprints, boot, at_ms };
            return attempt::propose_suspect(node, change).await.is_some();
        }
        if attempt.is_suspect {
            let change = Change::EndTrial { fingerprint, node: node.incarnation };
            attempt::propose_suspect(node, change).await;
        }
        true
    }

    /// Adjusts the last refusal so that `ran` covers all attempts, not only the last one.
    fn final_refusal(&self, last: Refusal) -> Refusal {
        match (self.plan.worst(), last.ran) {
            (Effect::MayHaveRun, Ran::No) => last.with_ran(Ran::Maybe),
            (Effect::MayHaveRun, Ran::Maybe | Ran::Yes) | (Effect::Unsent, _) => last,
        }
    }
}

//! The tries of one request, on one target after another.

use super::{
    Code, Ran, Refusal, Ticket,
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

/// A try that gave no answer.
pub struct Failure {
    /// What the try may have done.
    pub effect: Effect,
    /// What the caller is told if no other try follows.
    pub refusal: Box<Refusal>,
    /// The target that was tried, if there was one.
    pub attempt: Option<Attempt>,
    /// Whether the connection broke while the target had the request.
    pub broken: bool,
}

impl Failure {
    /// Creates the failure of a try that sent nothing.
    pub fn unsent(refusal: Refusal) -> Self {
        Self { effect: Effect::Unsent, refusal: refusal.into(), attempt: None, broken: false }
    }
}

/// The tries of one request so far.
pub struct Retrier {
    plan: Plan,
    tried: Vec<Key>,
    fingerprint: Fingerprint,
}

impl Retrier {
    /// Starts the first try.
    pub fn new(node: &Node, ticket: &Ticket, call: &Call) -> Self {
        node.admission.record_first_attempt(&ticket.route.id, node.clock.now());
        let plan = Plan::new(ticket.route.idempotent, ticket.deadline);
        Self { plan, tried: Vec::new(), fingerprint: digest::fingerprint(ticket, call) }
    }

    /// Chooses the target of the next try.
    pub async fn begin(&self, node: &Arc<Node>, ticket: &Ticket) -> Result<Attempt, Failure> {
        if node.control.state().suspects().is_refused(&self.fingerprint) {
            return Err(attempt::suspect_refused(ticket));
        }
        Attempt::begin(node, ticket, self.fingerprint, &self.tried).await
    }

    /// Records that a target answered.
    pub async fn record_success(&self, node: &Node, attempt: &Attempt) {
        if attempt.is_suspect {
            let fingerprint = self.fingerprint;
            attempt::propose_suspect(node, Change::Clear { fingerprint }).await;
        }
    }

    /// Waits until the next try, or returns what the caller is told if there is none.
    pub async fn handle_failure(
        &mut self,
        node: &Node,
        ticket: &Ticket,
        failure: Failure,
    ) -> Result<(), Box<Refusal>> {
        let Failure { effect, refusal, attempt, broken } = failure;
        let recorded = match attempt {
            Some(attempt) => self.record_failure(node, attempt, broken).await,
            None => true,
        };
        let now = node.clock.now();
        let step = node.admission.after_failure(&ticket.route.id, &mut self.plan, effect, now);
        match step {
            Step::Retry(pause) if recorded && refusal.code != Code::Suspect => {
                tokio::time::sleep(pause).await;
                Ok(())
            }
            Step::Retry(_) | Step::GiveUp => Err(self.final_refusal(*refusal).into()),
        }
    }

    /// Records a failed try after which no other follows, and returns what the caller is told.
    pub async fn give_up(&mut self, node: &Node, failure: Failure) -> Box<Refusal> {
        if let Some(attempt) = failure.attempt {
            self.record_failure(node, attempt, failure.broken).await;
        }
        failure.refusal
    }

    /// Records that the answer of a target is no longer wanted.
    pub async fn abandon(&mut self, node: &Node, attempt: Attempt) {
        self.record_failure(node, attempt, false).await;
    }

    /// Records a failed try; returns `false` if control does not know of it.
    ///
    /// A target whose connection broke is taken to have crashed until it is heard again.
    async fn record_failure(&mut self, node: &Node, attempt: Attempt, broken: bool) -> bool {
        self.tried.push(attempt.key);
        let fingerprint = self.fingerprint;
        if broken {
            log::warn!("entry: target {} broke off under a request", attempt.target);
            let boot = attempt.boot.clone();
            node.admission.watch_target(attempt.target.clone(), boot.clone(), node.clock.now());
            let (fingerprints, at_ms) = (vec![fingerprint], node.clock.wall_ms());
            let change = Change::Crashed { fingerprints, boot, at_ms };
            return attempt::propose_suspect(node, change).await.is_some();
        }
        if attempt.is_suspect {
            let change = Change::Return { fingerprint, node: node.incarnation };
            attempt::propose_suspect(node, change).await;
        }
        true
    }

    /// Tells the truth about all tries, not only about the last one.
    fn final_refusal(&self, last: Refusal) -> Refusal {
        match (self.plan.worst(), last.ran) {
            (Effect::Perhaps, Ran::No) => last.with_ran(Ran::Maybe),
            (Effect::Perhaps, Ran::Maybe | Ran::Yes) | (Effect::Unsent, _) => last,
        }
    }
}

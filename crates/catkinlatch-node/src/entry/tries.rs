//! The tries of one request, on one target after another.

use super::{
    Code, Ran, Refusal, Ticket, digest,
    dispatch::Call,
    running::{self, Running},
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
    pub running: Option<Running>,
    /// Whether the connection broke while the target had the request.
    pub broken: bool,
}

impl Failure {
    /// Creates the failure of a try that sent nothing.
    pub fn unsent(refusal: Refusal) -> Self {
        Self { effect: Effect::Unsent, refusal: refusal.into(), running: None, broken: false }
    }
}

/// The tries of one request so far.
pub struct Tries {
    plan: Plan,
    tried: Vec<Key>,
    fingerprint: Fingerprint,
}

impl Tries {
    /// Starts the first try.
    pub fn new(node: &Node, ticket: &Ticket, call: &Call) -> Self {
        node.admission.first_try(&ticket.route.id, node.clock.now());
        let plan = Plan::new(ticket.route.idempotent, ticket.deadline);
        Self { plan, tried: Vec::new(), fingerprint: digest::fingerprint(ticket, call) }
    }

    /// Chooses the target of the next try.
    pub async fn begin(&self, node: &Arc<Node>, ticket: &Ticket) -> Result<Running, Failure> {
        if node.control.state().suspects().is_refused(&self.fingerprint) {
            return Err(running::refused(ticket));
        }
        Running::begin(node, ticket, self.fingerprint, &self.tried).await
    }

    /// Records that a target answered.
    pub async fn succeed(&self, node: &Node, running: &Running) {
        if running.suspect {
            let fingerprint = self.fingerprint;
            running::propose(node, Change::Clear { fingerprint }).await;
        }
    }

    /// Waits until the next try, or returns what the caller is told if there is none.
    pub async fn after(
        &mut self,
        node: &Node,
        ticket: &Ticket,
        failure: Failure,
    ) -> Result<(), Box<Refusal>> {
        let Failure { effect, refusal, running, broken } = failure;
        let recorded = match running {
            Some(running) => self.record(node, running, broken).await,
            None => true,
        };
        let now = node.clock.now();
        let step = node.admission.after_failure(&ticket.route.id, &mut self.plan, effect, now);
        match step {
            Step::Retry(pause) if recorded && refusal.code != Code::Suspect => {
                tokio::time::sleep(pause).await;
                Ok(())
            }
            Step::Retry(_) | Step::GiveUp => Err(self.refusal(*refusal).into()),
        }
    }

    /// Records a failed try after which no other follows, and returns what the caller is told.
    pub async fn give_up(&mut self, node: &Node, failure: Failure) -> Box<Refusal> {
        if let Some(running) = failure.running {
            self.record(node, running, failure.broken).await;
        }
        failure.refusal
    }

    /// Records that the answer of a target is no longer wanted.
    pub async fn leave(&mut self, node: &Node, running: Running) {
        self.record(node, running, false).await;
    }

    /// Records a failed try; returns `false` if control does not know of it.
    ///
    /// A target whose connection broke is taken to have crashed until it is heard again.
    async fn record(&mut self, node: &Node, running: Running, broken: bool) -> bool {
        self.tried.push(running.key);
        let fingerprint = self.fingerprint;
        if broken {
            log::warn!("entry: target {} broke off under a request", running.target);
            let boot = running.boot.clone();
            node.admission.accuse(running.target.clone(), boot.clone(), node.clock.now());
            let (fingerprints, at_ms) = (vec![fingerprint], node.clock.wall_ms());
            let change = Change::Crashed { fingerprints, boot, at_ms };
            return running::propose(node, change).await.is_some();
        }
        if running.suspect {
            let change = Change::Return { fingerprint, node: node.incarnation };
            running::propose(node, change).await;
        }
        true
    }

    /// Tells the truth about all tries, not only about the last one.
    fn refusal(&self, last: Refusal) -> Refusal {
        match (self.plan.worst(), last.ran) {
            (Effect::Perhaps, Ran::No) => last.with_ran(Ran::Maybe),
            (Effect::Perhaps, Ran::Maybe | Ran::Yes) | (Effect::Unsent, _) => last,
        }
    }
}

//! The tries of one request, on one target after another.

use super::{Ran, Refusal, Ticket};
use crate::Node;
use catkinlatch_route::{
    Key,
    retry::{Effect, Plan, Step},
};

/// A try that gave no answer.
pub struct Failure {
    /// What the try may have done.
    pub effect: Effect,
    /// What the caller is told if no other try follows.
    pub refusal: Refusal,
    /// The target that was tried, if there was one.
    pub target: Option<Key>,
}

/// The tries of one request so far.
pub struct Tries {
    plan: Plan,
    tried: Vec<Key>,
}

impl Tries {
    /// Starts the first try.
    pub fn new(node: &Node, ticket: &Ticket) -> Self {
        node.admission.first_try(&ticket.route.id, node.clock.now());
        let plan = Plan::new(ticket.route.idempotent, ticket.deadline);
        Self { plan, tried: Vec::new() }
    }

    /// Returns the targets that failed.
    pub fn tried(&self) -> &[Key] {
        &self.tried
    }

    /// Waits until the next try, or returns what the caller is told if there is none.
    pub async fn after(
        &mut self,
        node: &Node,
        ticket: &Ticket,
        failure: Failure,
    ) -> Result<(), Box<Refusal>> {
        self.tried.extend(failure.target);
        let now = node.clock.now();
        let plan = &mut self.plan;
        let step = node.admission.after_failure(&ticket.route.id, plan, failure.effect, now);
        match step {
            Step::Retry(pause) => {
                tokio::time::sleep(pause).await;
                Ok(())
            }
            Step::GiveUp => Err(self.refusal(failure.refusal).into()),
        }
    }

    /// Tells the truth about all tries, not only about the last one.
    fn refusal(&self, last: Refusal) -> Refusal {
        match (self.plan.worst(), last.ran) {
            (Effect::Perhaps, Ran::No) => last.with_ran(Ran::Maybe),
            (Effect::Perhaps, Ran::Maybe | Ran::Yes) | (Effect::Unsent, _) => last,
        }
    }
}

//! A caller's request from admission to the complete response.

use super::{
    Refusal,
    admission::{self, Guard},
    claim::{KeyedRequest, Verdict},
    dispatch::{self, Call, Reply},
    request::Caller,
};
use crate::Node;
use catkinlatch_route::admission::Class;
use std::sync::Arc;

/// Runs a request, at most once if it has an idempotency key.
pub async fn run(
    node: &Arc<Node>,
    caller: &Caller,
    call: &Call,
    keyed: Option<KeyedRequest>,
) -> Result<Reply, Box<Refusal>> {
    let Some(keyed) = keyed else {
        let guard = admit(node, caller, call).await?;
        return dispatch::run_admitted(node, &caller.authorized, call, guard).await;
    };
    loop {
        let known = keyed.find(node, &caller.authorized)?;
        let verdict = match known {
            Some(verdict) => verdict,
            None => {
                let guard = admit(node, caller, call).await?;
                match keyed.open(node, &caller.authorized).await? {
                    Verdict::Run(owned) => {
                        let outcome =
                            dispatch::run_admitted(node, &caller.authorized, call, guard).await;
                        owned.settle(&outcome).await;
                        return outcome;
                    }
                    other => other,
                }
            }
        };
        match verdict {
            Verdict::Answer(reply) => return Ok(reply),
            Verdict::Run(_) | Verdict::Attach => keyed.wait(node, &caller.authorized).await?,
        }
        caller.check_key(node)?;
    }
}

/// Waits for a slot, then checks the API key again, since it may have been withdrawn meanwhile.
pub async fn admit(node: &Arc<Node>, caller: &Caller, call: &Call) -> Result<Guard, Box<Refusal>> {
    let cost = dispatch::estimate_cost(&caller.authorized, call);
    let guard = admission::admit(node, &caller.authorized, Class::Live, cost).await?;
    caller.check_key(node)?;
    Ok(guard)
}

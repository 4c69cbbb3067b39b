//! A caller's request from admission to its whole answer.

use super::{
    Refusal,
    admission::{self, Pass},
    claim::{Keyed, Verdict},
    dispatch::{self, Call, Reply},
    request::Caller,
};
use crate::Node;
use catkinlatch_route::admission::Class;
use std::sync::Arc;

/// Runs a request, at most once if it is keyed.
pub async fn run(
    node: &Arc<Node>,
    caller: &Caller,
    call: &Call,
    keyed: Option<Keyed>,
) -> Result<Reply, Box<Refusal>> {
    let Some(keyed) = keyed else {
        let pass = admit(node, caller, call).await?;
        return dispatch::run_admitted(node, &caller.ticket, call, pass).await;
    };
    loop {
        let known = keyed.look(node, &caller.ticket)?;
        let verdict = match known {
            Some(verdict) => verdict,
            None => {
                let pass = admit(node, caller, call).await?;
                match keyed.open(node, &caller.ticket).await? {
                    Verdict::Run(held) => {
                        let outcome =
                            dispatch::run_admitted(node, &caller.ticket, call, pass).await;
                        held.settle(&outcome).await;
                        return outcome;
                    }
                    other => other,
                }
            }
        };
        match verdict {
            Verdict::Answer(reply) => return Ok(reply),
            Verdict::Run(_) | Verdict::Attach => keyed.wait(node, &caller.ticket).await?,
        }
        caller.check_key(node)?;
    }
}

/// Waits for a slot and checks the key again, since it may have been withdrawn meanwhile.
pub async fn admit(node: &Arc<Node>, caller: &Caller, call: &Call) -> Result<Pass, Box<Refusal>> {
    let cost = dispatch::cost(&caller.ticket, call);
    let pass = admission::admit(node, &caller.ticket, Class::Live, cost).await?;
    caller.check_key(node)?;
    Ok(pass)
}

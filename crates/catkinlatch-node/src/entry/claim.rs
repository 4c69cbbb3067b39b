//! At-most-once execution: a non-idempotent request with an `Idempotency-Key` is sent only after a
//! claim for it is committed to the replicated state.

use super::{
    AuthorizedRequest, Code, Ran, Refusal, digest,
    dispatch::{Call, Reply},
};
use crate::{Node, control::ProposeError};
use catkinlatch_state::{
    Command,
    claim::{self, Answer, Change, Claim, Key, Owner, Stage},
};
use http::{HeaderMap, HeaderValue, Response, header};
use log::warn;
use std::{sync::Arc, time::Duration};

/// Header whose value makes a non-idempotent request run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header for the time at which the caller first sent the request, in milliseconds since the Unix
/// epoch.
const IDEMPOTENCY_TIME: &str = "idempotency-time";

/// Longest accepted `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Longest wait of a resent request for a change of its claim before it checks the claim again.
const ATTACH_INTERVAL: Duration = Duration::from_millis(500);

/// Number of retries for a proposal that ends a claim if the control log does not answer.
const SETTLE_ATTEMPTS: u32 = 20;

/// Pause between two such retries.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// A non-idempotent request with an `Idempotency-Key`.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    name: Key,
    digest: [u8; 32],
    sent_ms: u64,
}

/// What to do with a request according to its claim.
pub enum Verdict {
    /// The request may be sent; this node owns the claim.
    Run(OwnedClaim),
    /// The request is already running, here or on another node; wait for its response.
    Attach,
    /// The request was answered earlier; holds the stored response.
    Answer(Reply),
}

impl KeyedRequest {
    /// Reads the headers; returns `None` for requests that need no claim.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a header is malformed.
    pub fn new(
        node: &Node,
        authorized: &AuthorizedRequest,
        call: &Call,
        headers: &HeaderMap,
    ) -> Result<Option<Self>, Box<Refusal>> {
        let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
        if authorized.route.idempotent {
            return Ok(None);
        }
        let bad = |what: &str| {
            let message = format!("the header {what}; correct it and send the request again");
            Refusal::not_run(authorized.request.clone(), Code::BadRequest, message)
        };
        let key = value.to_str().ok().filter(|k| !k.is_empty() && k.len() <= MAX_KEY_BYTES);
        let key = key.ok_or_else(|| bad("idempotency-key must have 1 to 255 plain characters"))?;
        let sent_ms = match headers.get(IDEMPOTENCY_TIME) {
            None => node.clock.wall_ms(),
            Some(value) => {
                value.to_str().ok().and_then(|text| text.parse().ok()).ok_or_else(|| {
                    bad("idempotency-time must be milliseconds since the Unix epoch")
                })?
            }
        };
        let name = Key { team: authorized.team.clone(), key: key.to_owned() };
        Ok(Some(Self { name, digest: digest::digest(authorized, call), sent_ms }))
    }

    /// Looks up the claim in this node's copy of the replicated state, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the claim shows that the request must not run.
    pub fn find(
        &self,
        node: &Node,
        authorized: &AuthorizedRequest,
    ) -> Result<Option<Verdict>, Box<Refusal>> {
        let state = node.control.state();
        state.claims().get(&self.name).map(|claim| self.verdict(authorized, claim)).transpose()
    }

    /// Proposes the claim, or returns the verdict if the request has a claim already.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the claim cannot be opened or shows that the request must not run.
    pub async fn open(
        &self,
        node: &Arc<Node>,
        authorized: &AuthorizedRequest,
    ) -> Result<Verdict, Box<Refusal>> {
        let owner = Owner { node: node.incarnation, attempt: fastrand::u64(..) };
        let left = authorized.deadline.saturating_duration_since(node.clock.now());
        let opened_ms = node.clock.wall_ms();
        let deadline_ms = opened_ms + u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 2);
        let (digest, stage) = (self.digest, Stage::Running);
        let claim = Claim { digest, owner, opened_ms, deadline_ms, stage };
        let open = Change::Open { name: self.name.clone(), claim, sent_ms: self.sent_ms };
        let owned = OwnedClaim { node: node.clone(), name: self.name.clone(), owner };
        match propose(node, open).await {
            Ok(claim::Reply::Opened) => Ok(Verdict::Run(owned)),
            Ok(claim::Reply::Exists(claim)) => self.verdict(authorized, &claim),
            Ok(claim::Reply::Full) => Err(self.refuse(
                authorized,
                Code::Overloaded,
                "as many requests with an idempotency-key are kept as may be; retry later",
            )),
            Ok(claim::Reply::Expired) => {
                let message = "the request was first sent so long ago that its outcome is no \
                               longer known; check it before you send it under a new key";
                Err(outcome_unknown(authorized, message))
            }
            Ok(claim::Reply::Done | claim::Reply::NotOwner) | Err(ProposeError::NoLeader) => {
                Err(self.refuse(authorized, Code::Unavailable, "control has no leader; retry"))
            }
            Err(ProposeError::Unknown) => {
                tokio::spawn(owned.release());
                Err(self.refuse(authorized, Code::Unavailable, "control did not answer; retry"))
            }
        }
    }

    /// Waits until the claim has changed or [`ATTACH_INTERVAL`] has passed.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request's deadline passes first.
    pub async fn wait(
        &self,
        node: &Node,
        authorized: &AuthorizedRequest,
    ) -> Result<(), Box<Refusal>> {
        let mut changes = node.control.changes();
        let known = node.control.state().claims().get(&self.name).map(|claim| claim.stage.clone());
        let changed = async {
            while node.control.state().claims().get(&self.name).map(|c| &c.stage) == known.as_ref()
            {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let until = (node.clock.now() + ATTACH_INTERVAL).min(authorized.deadline);
        if tokio::time::timeout_at(node.clock.timer(until), changed).await.is_err()
            && node.clock.now() >= authorized.deadline
        {
            let message = "the request still runs; send it again with the same idempotency-key";
            let refusal = Refusal::not_run(authorized.request.clone(), Code::Deadline, message);
            return Err(refusal.with_ran(Ran::Maybe).with_retry_after_ms(1000).into());
        }
        Ok(())
    }

    fn verdict(
        &self,
        authorized: &AuthorizedRequest,
        claim: &Claim,
    ) -> Result<Verdict, Box<Refusal>> {
        if claim.digest != self.digest {
            let message = "the idempotency-key was used with another request; use a new one";
            let refusal = Refusal::not_run(authorized.request.clone(), Code::KeyReused, message);
            return Err(refusal.into());
        }
        match &claim.stage {
            Stage::Running => Ok(Verdict::Attach),
            Stage::Answered(answer) => Ok(Verdict::Answer(to_reply(answer))),
            Stage::Dropped => {
                let message = "the request ran and was answered; the answer is no longer kept";
                let refusal =
                    Refusal::not_run(authorized.request.clone(), Code::OutcomeUnknown, message);
                Err(refusal.with_ran(Ran::Yes).into())
            }
            Stage::Unknown => {
                let message = "nobody knows whether the request ran; check before you send it \
                               under a new key";
                Err(outcome_unknown(authorized, message))
            }
        }
    }

    fn refuse(&self, authorized: &AuthorizedRequest, code: Code, message: &str) -> Box<Refusal> {
        let refusal = Refusal::not_run(authorized.request.clone(), code, message);
        refusal.with_retry_after_ms(1000).into()
    }
}

/// A claim that this node opened.
///
/// If it is not settled, for example because the node crashes, the outcome of the request becomes
/// unknown once the claim is overdue.
#[must_use]
pub struct OwnedClaim {
    node: Arc<Node>,
    name: Key,
    owner: Owner,
}

impl OwnedClaim {
    /// Ends the claim with the outcome of the request; releases it if the request did not run.
    pub async fn settle(self, outcome: &Result<Reply, Box<Refusal>>) {
        let stage = match outcome {
            Ok(reply) => Stage::Answered(to_answer(reply)),
            Err(refusal) if refusal.ran == Ran::No => return self.release().await,
            Err(_) => Stage::Unknown,
        };
        let change = Change::Finish { name: self.name.clone(), owner: self.owner, stage };
        if !self.try_settle(&change).await {
            let node = self.node.clone();
            tokio::spawn(async move { self.retry_settling(&node, &change).await });
        }
    }

    /// Releases the claim of a request that was not sent and never will be.
    async fn release(self) {
        let change = Change::Release { name: self.name.clone(), owner: self.owner };
        if !self.try_settle(&change).await {
            let node = self.node.clone();
            tokio::spawn(async move { self.retry_settling(&node, &change).await });
        }
    }

    async fn try_settle(&self, change: &Change) -> bool {
        propose(&self.node, change.clone()).await.is_ok()
    }

    async fn retry_settling(&self, node: &Node, change: &Change) {
        for _ in 0..SETTLE_ATTEMPTS {
            tokio::time::sleep(SETTLE_PAUSE).await;
            if propose(node, change.clone()).await.is_ok() {
                return;
            }
        }
        warn!("entry: could not record the end of a claim of team {}", self.name.team);
    }
}

/// Marks the outcome of overdue claims as unknown and drops old claims; only the leader proposes
/// this.
pub async fn expire(node: &Node) {
    let now_ms = node.clock.wall_ms();
    if node.control.leading_term().is_none() || !node.control.state().claims().has_due(now_ms) {
        return;
    }
    if let Err(error) = propose(node, Change::Expire { now_ms }).await {
        warn!("entry: could not expire claims: {error}");
    }
}

async fn propose(node: &Node, change: Change) -> Result<claim::Reply, ProposeError> {
    match node.control.propose(Command::Claim(change)).await? {
        catkinlatch_state::Reply::Claim(reply) => Ok(reply),
        _ => Err(ProposeError::Unknown),
    }
}

fn outcome_unknown(authorized: &AuthorizedRequest, message: &str) -> Box<Refusal> {
    let refusal = Refusal::not_run(authorized.request.clone(), Code::OutcomeUnknown, message);
    refusal.with_ran(Ran::Maybe).into()
}

fn to_answer(reply: &Reply) -> Answer {
    let content_type = reply.head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Answer {
        status: reply.head.status.as_u16(),
        content_type: content_type.to_owned(),
        body: reply.body.clone(),
    }
}

fn to_reply(answer: &Answer) -> Reply {
    let mut response = Response::new(());
    *response.status_mut() = http::StatusCode::from_u16(answer.status).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    Reply { head: response.into_parts().0, body: answer.body.clone() }
}

//! At most once: a claim in replicated state stands before a non-idempotent request is sent.

use super::{
    Code, Ran, Refusal, Ticket, digest,
    dispatch::{Call, Reply},
};
use crate::{Node, control::ProposeError};
use catkinlatch_state::{
    Command,
    claim::{self, Answer, Change, Claim, Name, Owner, Stage},
};
use http::{HeaderMap, HeaderValue, Response, header};
use log::warn;
use std::{sync::Arc, time::Duration};

/// The header under which a non-idempotent request runs at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The header that says when the caller first sent the request, in milliseconds since the epoch.
const IDEMPOTENCY_TIME: &str = "idempotency-time";

/// The longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// How long an attached resend waits before it asks control again.
const ATTACH_INTERVAL: Duration = Duration::from_millis(500);

/// How often the end of a claim is proposed again when control does not answer.
const SETTLE_ATTEMPTS: u32 = 20;

/// The pause between two such proposals.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// A request that may be run at most once.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    name: Name,
    digest: [u8; 32],
    sent_ms: u64,
}

/// What the claims say about a request.
pub enum Verdict {
    /// The request may be sent; the claim is this node's.
    Run(OwnedClaim),
    /// The request is running, here or on another node.
    Attach,
    /// The request was answered before.
    Answer(Reply),
}

impl KeyedRequest {
    /// Reads the headers; returns `None` for requests that need no claim.
    pub fn new(
        node: &Node,
        ticket: &Ticket,
        call: &Call,
        headers: &HeaderMap,
    ) -> Result<Option<Self>, Box<Refusal>> {
        let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
        if ticket.route.idempotent {
            return Ok(None);
        }
        let bad = |what: &str| {
            let message = format!("the header {what}; correct it and send the request again");
            Refusal::not_run(ticket.request.clone(), Code::BadRequest, message)
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
        let name = Name { team: ticket.team.clone(), key: key.to_owned() };
        Ok(Some(Self { name, digest: digest::digest(ticket, call), sent_ms }))
    }

    /// Looks at the claims that this node knows, without asking control.
    pub fn find(&self, node: &Node, ticket: &Ticket) -> Result<Option<Verdict>, Box<Refusal>> {
        let state = node.control.state();
        state.claims().get(&self.name).map(|claim| self.verdict(ticket, claim)).transpose()
    }

    /// Opens the claim, or returns what stands in the way.
    pub async fn open(&self, node: &Arc<Node>, ticket: &Ticket) -> Result<Verdict, Box<Refusal>> {
        let owner = Owner { node: node.incarnation, attempt: fastrand::u64(..) };
        let left = ticket.deadline.saturating_duration_since(node.clock.now());
        let opened_ms = node.clock.wall_ms();
        let deadline_ms = opened_ms + u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 2);
        let (digest, stage) = (self.digest, Stage::Running);
        let claim = Claim { digest, owner, opened_ms, deadline_ms, stage };
        let open = Change::Open { name: self.name.clone(), claim, sent_ms: self.sent_ms };
        let owned = OwnedClaim { node: node.clone(), name: self.name.clone(), owner };
        match propose(node, open).await {
            Ok(claim::Reply::Opened) => Ok(Verdict::Run(owned)),
            Ok(claim::Reply::Exists(claim)) => self.verdict(ticket, &claim),
            Ok(claim::Reply::Full) => Err(self.refuse(
                ticket,
                Code::Overloaded,
                "as many requests with an idempotency-key are kept as may be; retry later",
            )),
            Ok(claim::Reply::Expired) => {
                let message = "the request was first sent so long ago that its outcome is no \
                               longer known; check it before you send it under a new key";
                Err(outcome_unknown(ticket, message))
            }
            Ok(claim::Reply::Done | claim::Reply::NotOwner) | Err(ProposeError::NoLeader) => {
                Err(self.refuse(ticket, Code::Unavailable, "control has no leader; retry"))
            }
            Err(ProposeError::Unknown) => {
                tokio::spawn(owned.release());
                Err(self.refuse(ticket, Code::Unavailable, "control did not answer; retry"))
            }
        }
    }

    /// Waits until the claim may have changed.
    pub async fn wait(&self, node: &Node, ticket: &Ticket) -> Result<(), Box<Refusal>> {
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
        let until = (node.clock.now() + ATTACH_INTERVAL).min(ticket.deadline);
        if tokio::time::timeout_at(node.clock.timer(until), changed).await.is_err()
            && node.clock.now() >= ticket.deadline
        {
            let message = "the request still runs; send it again with the same idempotency-key";
            let refusal = Refusal::not_run(ticket.request.clone(), Code::Deadline, message);
            return Err(refusal.with_ran(Ran::Maybe).with_retry_after_ms(1000).into());
        }
        Ok(())
    }

    fn verdict(&self, ticket: &Ticket, claim: &Claim) -> Result<Verdict, Box<Refusal>> {
        if claim.digest != self.digest {
            let message = "the idempotency-key was used with another request; use a new one";
            let refusal = Refusal::not_run(ticket.request.clone(), Code::KeyReused, message);
            return Err(refusal.into());
        }
        match &claim.stage {
            Stage::Running => Ok(Verdict::Attach),
            Stage::Answered(answer) => Ok(Verdict::Answer(to_reply(answer))),
            Stage::Dropped => {
                let message = "the request ran and was answered; the answer is no longer kept";
                let refusal =
                    Refusal::not_run(ticket.request.clone(), Code::OutcomeUnknown, message);
                Err(refusal.with_ran(Ran::Yes).into())
            }
            Stage::Unknown => {
                let message = "nobody knows whether the request ran; check before you send it \
                               under a new key";
                Err(outcome_unknown(ticket, message))
            }
        }
    }

    fn refuse(&self, ticket: &Ticket, code: Code, message: &str) -> Box<Refusal> {
        let refusal = Refusal::not_run(ticket.request.clone(), code, message);
        refusal.with_retry_after_ms(1000).into()
    }
}

/// A claim that this node opened.
///
/// If it is dropped without an end, as when the node dies, the claim becomes unknown once it is
/// overdue.
#[must_use]
pub struct OwnedClaim {
    node: Arc<Node>,
    name: Name,
    owner: Owner,
}

impl OwnedClaim {
    /// Ends the claim by what became of the request.
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

    /// Withdraws the claim; the request was not sent and never will be.
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
        warn!("entry: the end of a claim of team {} is not recorded", self.name.team);
    }
}

/// Marks overdue claims as unknown and drops old ones; only the leader proposes.
pub async fn expire(node: &Node) {
    let now_ms = node.clock.wall_ms();
    if node.control.leading().is_none() || !node.control.state().claims().has_due(now_ms) {
        return;
    }
    if let Err(error) = propose(node, Change::Expire { now_ms }).await {
        warn!("entry: claims are not expired: {error}");
    }
}

async fn propose(node: &Node, change: Change) -> Result<claim::Reply, ProposeError> {
    match node.control.propose(Command::Claim(change)).await? {
        catkinlatch_state::Reply::Claim(reply) => Ok(reply),
        _ => Err(ProposeError::Unknown),
    }
}

fn outcome_unknown(ticket: &Ticket, message: &str) -> Box<Refusal> {
    let refusal = Refusal::not_run(ticket.request.clone(), Code::OutcomeUnknown, message);
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

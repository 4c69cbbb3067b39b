//! Which build of the targets' software a stream must go on at.
//!
//! The host that brings the first event of a stream records its build, and has two hosts with a disk
//! keep a copy, since a caller may resume the stream at any other host.

use crate::{front::InboundRequest, host::Host};
use catkinlatch_base::{BuildId, HostId, RequestId, TargetId};
use catkinlatch_ledger::{build::RETENTION, config::Kind};
use catkinlatch_platform::header;
use catkinlatch_runtime::{Message, Reply};
use futures::future::join_all;
use log::info;
use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// Number of hosts with a disk that keep a copy.
const COPIES: usize = 2;

/// Number of hosts that are asked: one more may keep a copy since the list of hosts has changed.
const ASKED: usize = 3;

/// Timeout for passing on a copy.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for the answers of all hosts that are asked.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);

/// The builds at which a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Required {
    /// Any build.
    Any,
    /// Only the build that began the stream.
    Only(BuildId),
    /// Only the build that began the stream, which is not known, while several may have.
    Unknown,
}

impl Required {
    fn allows(&self, build: &BuildId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => build == required,
            Self::Unknown => false,
        }
    }
}

/// Returns the builds at which a request may run.
///
/// A caller that resumes a stream names the attempt that brought the first event. If nobody knows
/// that attempt, the stream may go on only if no other build can have begun it.
pub async fn required(host: &Host, inbound: &InboundRequest) -> Required {
    let headers = &inbound.head.headers;
    if inbound.route.kind != Kind::Stream || !headers.contains_key(header::LAST_EVENT) {
        return Required::Any;
    }
    let attempt = header::text(headers, &header::RESUMED).and_then(|id| id.parse().ok());
    let origin = match &attempt {
        Some(attempt) => find(host, attempt).await,
        None => None,
    };
    if let Some(build) = origin {
        return Required::Only(build);
    }
    // Targets of another build may have begun the stream since the last poll.
    if is_only(host, inbound) && host.refresh_view().await && is_only(host, inbound) {
        return Required::Any;
    }
    info!(
        request = inbound.id().unwrap_or_default(),
        attempt:? = attempt.as_ref().map(RequestId::as_str);
        "entry: the build that began a stream is not known"
    );
    Required::Unknown
}

/// Returns whether the targets of a request's route have run a single build for as long as a stream
/// may last, as of the last poll.
fn is_only(host: &Host, inbound: &InboundRequest) -> bool {
    let now = host.clock.now();
    let builds = host.builds();
    let services = inbound.route.shares.iter().map(|share| &share.service);
    builds.is_complete(RETENTION, now) && builds.only(services, now).is_some()
}

/// Returns the targets at which a request may not run because of their build.
pub fn excluded(host: &Host, required: &Required) -> Vec<TargetId> {
    if *required == Required::Any {
        return Vec::new();
    }
    let view = host.view();
    let targets = view.targets.iter().filter(|target| !required.allows(&target.build));
    targets.map(|target| target.id.clone()).collect()
}

/// Returns whether a target that accepts requests may run this one, as far as its build goes; if not,
/// waiting for a free slot is in vain.
pub fn is_served(host: &Host, inbound: &InboundRequest, required: &Required) -> bool {
    if *required == Required::Any {
        return true;
    }
    let view = host.view();
    let mut targets = inbound.route.shares.iter().flat_map(|share| view.targets(&share.service));
    targets.any(|target| target.is_ready() && required.allows(&target.build))
}

/// Records the build that generated the first event of a response, and passes on copies.
pub fn record(host: &Arc<Host>, inbound: &InboundRequest, build: &BuildId) {
    if !inbound.route.may_repeat() {
        return;
    }
    let headers = &inbound.head.headers;
    let attempt = match headers.contains_key(header::LAST_EVENT) {
        true => header::text(headers, &header::RESUMED),
        false => inbound.id(),
    };
    let Some(attempt) = attempt.and_then(|id| id.parse::<RequestId>().ok()) else { return };
    host.origins().record(attempt.clone(), build.clone(), host.clock.now());
    let (host, build) = (host.clone(), build.clone());
    tokio::spawn(async move { pass_on(&host, &attempt, &build).await });
}

/// Has hosts with a disk keep copies of a record; the next one replaces one that does not answer.
async fn pass_on(host: &Host, attempt: &RequestId, build: &BuildId) {
    let message = Message::RecordOrigin { attempt: attempt.clone(), build: build.clone() };
    let keep = async |holder: &HostId| {
        let reply = host.peers.call::<Reply>(holder, &message, RECORD_TIMEOUT).await;
        matches!(reply, Ok(Reply::Done))
    };
    let holders: Vec<HostId> = holders(host, attempt).into_iter().take(ASKED).collect();
    let wanted = holders.len().min(COPIES);
    let (first, others) = holders.split_at(wanted);
    let kept = join_all(first.iter().map(&keep)).await;
    let mut copies = kept.into_iter().filter(|is_kept| *is_kept).count();
    for holder in others {
        if copies < wanted {
            copies += usize::from(keep(holder).await);
        }
    }
    if copies < wanted {
        metrics::counter!("catkinlatch_entry_origins_not_kept").increment(1);
        info!(
            attempt = attempt.as_str(), build:% = build, copies = copies;
            "entry: too few hosts keep which build began a stream"
        );
    }
}

/// Returns the build that began a stream, from this host's own records or a copy.
async fn find(host: &Host, attempt: &RequestId) -> Option<BuildId> {
    if let Some(build) = host.origins().find(attempt, host.clock.now()) {
        return Some(build.clone());
    }
    let mut answers = JoinSet::new();
    for holder in holders(host, attempt).into_iter().take(ASKED) {
        let (peers, message) = (host.peers.clone(), Message::FindOrigin(attempt.clone()));
        answers.spawn(async move {
            match peers.call(&holder, &message, FIND_TIMEOUT).await {
                Ok(Reply::Origin(build)) => build,
                Ok(_) | Err(_) => None,
            }
        });
    }
    let first = async {
        while let Some(answer) = answers.join_next().await {
            if let Ok(Some(build)) = answer {
                return Some(build);
            }
        }
        None
    };
    time::timeout(FIND_TIMEOUT, first).await.ok().flatten()
}

/// Returns the hosts with a disk in the order in which they keep copies of a stream's record, which
/// the loss of one does not change for the others.
fn holders(host: &Host, attempt: &RequestId) -> Vec<HostId> {
    let mut hosts: Vec<HostId> = host.view().stores.to_vec();
    hosts.sort_by_cached_key(|holder| {
        let mut hasher = DefaultHasher::new();
        (attempt.as_str(), holder.as_str()).hash(&mut hasher);
        Reverse(hasher.finish())
    });
    hosts
}

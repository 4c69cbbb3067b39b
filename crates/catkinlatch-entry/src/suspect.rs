//! This host's part in keeping requests that crash targets away from further targets.
//!
//! The leader decides which suspect runs where. A host that hears no leader decides alone, from its
//! copy of the list, and reports later what it has seen.

mod table;

pub use self::table::{State, Table};

use crate::{attempt, front::InboundRequest, host::Host};
use catkinlatch_base::Instant;
use catkinlatch_ledger::{Target, suspect::Change};
use catkinlatch_runtime::{Answer, Message, Reply, message::ViewVersion};
use catkinlatch_state::suspect::Reply as Verdict;
use derive_more::Display;
use log::info;
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How long a caller's request waits for the leader's word.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(80);

/// Timeout of a call to the leader. A leader that takes longer than [`VERDICT_TIMEOUT`] is busy and
/// still the leader.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before a suspect asks for a run again.
pub const TRIAL_PAUSE: Duration = Duration::from_millis(25);

/// How long the leader may hold a long poll open.
const POLL_WAIT: Duration = Duration::from_millis(2_000);

/// Timeout for one long poll, including retries with other hosts.
const POLL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How a request may be sent to a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Permit {
    /// The request is no suspect.
    #[display("no suspect")]
    Plain,
    /// The request is a suspect, which may run alone on this target now.
    #[display("runs alone")]
    Trial,
    /// The suspect or the target is busy with another trial.
    #[display("a suspect waits for a run of its own")]
    Busy,
    /// The request crashed too many targets.
    #[display("it crashed too many targets")]
    Refused,
}

/// Asks whether a request may be sent to a target; `left` is the time until its deadline.
pub async fn admit(
    host: &Host,
    inbound: &InboundRequest,
    target: &Target,
    left: Duration,
) -> Permit {
    if host.suspects().is_empty() {
        return Permit::Plain;
    }
    let fingerprint = inbound.fingerprint();
    let state = host.suspects().state(&fingerprint);
    match state {
        State::Unknown => return Permit::Plain,
        State::Refused if !host.suspects().may_be_paroled(&fingerprint, host.clock.wall_ms()) => {
            return Permit::Refused;
        }
        State::Refused => {}
        State::Suspect => {}
    }
    let start = Change::StartTrial {
        fingerprint,
        target: target.id.clone(),
        process: host.peers.local().incarnation,
        for_ms: left.as_millis() as u64,
    };
    let verdict = change(host, start).await;
    if verdict == Verdict::NotSuspect {
        let recent = host.suspects().recent(&fingerprint, host.clock.wall_ms());
        if !recent.is_empty() {
            // The leader is new and lacks what its predecessor knew.
            for crash in recent {
                change(host, crash).await;
            }
            return Permit::Busy;
        }
    }
    match verdict {
        Verdict::Granted => Permit::Trial,
        Verdict::NotSuspect => Permit::Plain,
        Verdict::Busy | Verdict::Done => Permit::Busy,
        Verdict::Refused => Permit::Refused,
    }
}

/// Records that the connection to a target broke under a request; `ran_alone` if it was a trial.
pub async fn record_break(host: &Host, inbound: &InboundRequest, target: &Target, ran_alone: bool) {
    attempt::log_break(inbound, target);
    host.suspects().record_break(target, host.clock.now());
    let (fingerprint, boot) = (inbound.fingerprint(), target.boot());
    change(host, Change::Crashed { fingerprint, boot, ran_alone }).await;
}

/// Records that a target did not answer a request in time, which the leader weighs once it knows
/// whether the target ended.
pub fn record_silence(host: &Arc<Host>, inbound: &InboundRequest, target: &Target, permit: Permit) {
    let (fingerprint, boot) = (inbound.fingerprint(), target.boot());
    let ran_alone = permit == Permit::Trial;
    change_later(host, Change::Silent { fingerprint, boot, ran_alone });
    if ran_alone {
        end_trial(host, inbound);
    }
}

/// Records that a target answered a request that was sent at `sent_at`; if a connection to it had
/// broken before, it has not crashed.
pub fn record_response(host: &Arc<Host>, target: &Target, sent_at: Instant) {
    let now = host.clock.now();
    let Some(boot) = host.suspects().take_survivor(&target.id, sent_at, now) else { return };
    change_later(host, Change::Survived { boot });
}

/// Records that a target answered a suspect, so that it is none any more.
pub fn record_answer(host: &Arc<Host>, inbound: &InboundRequest) {
    change_later(host, Change::Clear { fingerprint: inbound.fingerprint() });
}

/// Records that the run of a suspect ended in a way that tells nothing about it.
pub fn end_trial(host: &Arc<Host>, inbound: &InboundRequest) {
    let (fingerprint, process) = (inbound.fingerprint(), host.peers.local().incarnation);
    change_later(host, Change::EndTrial { fingerprint, process });
}

/// Applies a change that no caller waits for.
fn change_later(host: &Arc<Host>, later: Change) {
    let host = host.clone();
    tokio::spawn(async move { change(&host, later).await });
}

/// Applies a change to this host's copy, and has the leader apply it.
///
/// Returns the leader's verdict, or that of this host's copy if no leader answers.
async fn change(host: &Host, change: Change) -> Verdict {
    let own = host.suspects().apply(&change, host.clock.wall_ms());
    let message = Message::Suspect(change.clone());
    let answer = host.leader_client.call(&message, Duration::ZERO, CALL_TIMEOUT);
    match time::timeout(VERDICT_TIMEOUT, answer).await {
        Ok(Answer::Reply(Reply::Suspect(verdict))) => {
            host.suspects().set_reported(&change);
            verdict
        }
        Ok(Answer::Reply(_) | Answer::NotDone | Answer::Unknown) | Err(_) => own,
    }
}

/// Polls the leader for the list of suspects, and reports what it lacks, until the process stops.
pub async fn follow(host: Arc<Host>) {
    let mut known = ViewVersion::default();
    loop {
        let message = Message::FollowSuspects { known, wait_ms: POLL_WAIT.as_millis() as u64 };
        match host.leader_client.call(&message, POLL_WAIT, POLL_TIMEOUT).await {
            Answer::Reply(Reply::Suspects { version, suspects }) => {
                host.suspects().adopt(version, *suspects, host.clock.wall_ms());
                known = version;
            }
            Answer::Reply(Reply::Nothing) => {}
            Answer::Reply(_) | Answer::NotDone | Answer::Unknown => time::sleep(RETRY_PAUSE).await,
        }
        report(&host).await;
    }
}

/// Reports the crashes that no leader has confirmed, until one is not confirmed again.
async fn report(host: &Host) {
    loop {
        let Some(change) = host.suspects().unreported() else { return };
        let message = Message::Suspect(change.clone());
        match host.leader_client.call(&message, Duration::ZERO, CALL_TIMEOUT).await {
            Answer::Reply(Reply::Suspect(_)) => host.suspects().set_reported(&change),
            Answer::Reply(_) | Answer::NotDone | Answer::Unknown => {
                return info!("suspects: no leader took a report; it is sent again");
            }
        }
    }
}

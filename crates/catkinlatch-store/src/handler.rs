//! Handles messages from other processes.

mod evacuation;
mod propagation;
mod suspect;
mod target;

use self::propagation::{await_propagation, leads};
use crate::{
    backlog::{Kept, Use},
    exchange,
    host::Host,
    observation, relay, view,
};
use bytes::Bytes;
use catkinlatch_base::{HostId, JobId};
use catkinlatch_ledger::{Command, Job, Record, Reply as Outcome};
use catkinlatch_runtime::{
    Message, ProposeError, Reply,
    message::{Follow, Results, ViewVersion},
};
use catkinlatch_wire::{Frame, Hello, Listener, Offer, codec};
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::{self, Instant};

/// How long after its election a leader may still lack contact with some stores.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// The most bytes of results in one reply, unless a single result is larger.
const MAX_RESULTS_BYTES: usize = 900_000;

/// How long a reply waits for others to be sent; its caller waits for longer.
const REPLY_WAIT: Duration = Duration::from_millis(600);

/// Interval at which a reply checks whether it may be sent.
const REPLY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts sessions from other processes and handles their messages.
pub async fn serve(host: Arc<Host>, listener: Listener) {
    let (local, secret) = (host.peers.local().clone(), host.peers.secret().clone());
    let relay_server = Arc::new(relay::server(&host));
    let tunnels = move |remote: Hello, frame: Frame, offer: Offer| {
        let relay_server = relay_server.clone();
        async move { relay_server.serve(remote, frame, offer).await }
    };
    let handler = move |remote: Hello, frame: Frame| receive(host.clone(), remote, frame);
    catkinlatch_wire::serve_with_tunnels(listener, local, secret, handler, tunnels).await;
}

async fn receive(host: Arc<Host>, remote: Hello, frame: Frame) -> Option<Frame> {
    match codec::decode(&frame.payload) {
        Ok(Message::Follow(follow)) => Some(Frame::new(answer_follow(&host, &follow).await)),
        Ok(Message::FollowSuspects { known, wait_ms }) => {
            Some(Frame::new(suspect::answer_follow(&host, known, wait_ms).await))
        }
        Ok(message) => {
            let reply = handle(&host, message).await;
            Some(Frame::new(encode_bounded(&host, &reply).await))
        }
        Err(error) => {
            warn!(host:% = remote.host, error:% = error; "peer: cannot decode a message");
            None
        }
    }
}

/// Encodes a reply. One with data of a job counts as memory until it is sent. If all such replies
/// take too much, it waits for a moment, and is then replaced by [`Reply::Unknown`].
async fn encode_bounded(host: &Host, reply: &Reply) -> Bytes {
    let bytes = match reply {
        Reply::Body(body) => body.len(),
        Reply::Results(results) => results.list.iter().map(|(_, result)| result.bytes()).sum(),
        _ => return codec::encode(reply),
    };
    let until = Instant::now() + REPLY_WAIT;
    let mut admitted = host.replies.admit(0, bytes);
    while admitted.is_none() && Instant::now() < until {
        time::sleep(REPLY_POLL_INTERVAL).await;
        admitted = host.replies.admit(0, bytes);
    }
    match admitted {
        Some(held) => Bytes::from_owner(Held { bytes: codec::encode(reply), _held: held }),
        None => {
            metrics::counter!("catkinlatch_jobs_reads_refused").increment(1);
            info!(bytes = bytes; "jobs: refused a read, too many replies are being sent");
            codec::encode(&Reply::Unknown)
        }
    }
}

/// An encoded reply, which counts as memory until it is dropped.
struct Held {
    bytes: Bytes,
    _held: Use,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Handles a message.
///
/// Messages for the leader are answered with [`Reply::NotLeader`] unless this host holds a valid
/// leader lease.
pub async fn handle(host: &Arc<Host>, message: Message) -> Reply {
    match message {
        Message::Greeting => return Reply::Nothing,
        Message::Log(frame) => {
            host.replica.receive(frame).await;
            return Reply::Nothing;
        }
        Message::RecordOrigin { attempt, build } => {
            host.origins().record(attempt, build, host.clock.now());
            return Reply::Done;
        }
        Message::FindOrigin(attempt) => {
            let now = host.clock.now();
            return Reply::Origin(host.origins().find(&attempt, now).cloned());
        }
        _ => {}
    }
    let Some(term) = host.replica.fencing_token() else {
        return Reply::NotLeader(host.other_leader());
    };
    match message {
        // Only other processes follow, and get their answers encoded.
        Message::Greeting
        | Message::Log(_)
        | Message::RecordOrigin { .. }
        | Message::FindOrigin(_)
        | Message::Follow(_)
        | Message::FollowSuspects { .. } => Reply::Nothing,
        Message::Suspect(change) => suspect::change(host, &change),
        Message::Leaving { target, born_ms } => {
            host.record_leaving(&target, born_ms);
            Reply::Done
        }
        Message::Submit(job) => submit(host, job).await,
        Message::Read { job, team, after, wait_ms } => {
            let is_owner = move |record: &Record| record.job.team == team;
            read_results(host, &job, is_owner, after, Duration::from_millis(wait_ms)).await
        }
        Message::Body { job, team, item } => host.replica.read(|state| {
            let record = state.jobs.get(&job).filter(|record| record.job.team == team);
            let record = record.filter(|record| !record.is_ended);
            let body = record.and_then(|record| {
                let position = record.job.position(&item)?;
                let is_open = !record.is_finished(position);
                is_open.then(|| record.job.items[position].body.clone())
            });
            body.map_or(Reply::NotFound, Reply::Body)
        }),
        Message::End { job, team } => {
            let owns = |record: &Record| record.job.team == team;
            let is_owned = host.replica.read(|state| state.jobs.get(&job).is_some_and(owns));
            if !is_owned {
                return Reply::NotFound;
            }
            info!(job:% = job; "jobs: job ended by its owner");
            propose(host, Command::End { job }).await
        }
        Message::Configure(document) => {
            let version = document.configuration.version;
            let reply = propose(host, Command::Configure(document)).await;
            if matches!(reply, Reply::Done) {
                let is_propagated = await_propagation(host, term, Some(version)).await;
                if !is_propagated && !leads(host, term) {
                    return Reply::NotLeader(host.other_leader());
                }
                info!(
                    version = version, held_by_all = is_propagated;
                    "control: configuration in force"
                );
            }
            reply
        }
        Message::Configuration => host.replica.read(|state| {
            Reply::Configuration(state.document.as_ref().map(|document| document.source.clone()))
        }),
        Message::Register(target) => target::register(host, term, *target).await,
        Message::Withdraw(id) => target::withdraw(host, term, &id, None).await,
        Message::WithdrawStart { target, born_ms } => {
            target::withdraw(host, term, &target, Some(born_ms)).await
        }
        Message::RecordVersion { model, version } => {
            info!(model:% = model, version = version.get(); "weights: new version named");
            propose(host, Command::RecordVersion { model, version }).await
        }
        Message::Retire(name) => retire(host, &name).await,
        Message::Retirement(name) => retirement(host, &name),
        Message::Exchange(report) => {
            Reply::Exchanged(Box::new(exchange::answer(host, term, &report)))
        }
        Message::Evacuate(zone) => evacuation::evacuate(host, term, zone).await,
        Message::Restore(zone) => evacuation::restore(host, term, zone).await,
        Message::RequestPlace { host: holder, service } => {
            host.places.request(host, term, holder, &service)
        }
        Message::RequestRetry { host: sender, target } => {
            Reply::Retry(observation::grant_retry(host, &sender, &target))
        }
    }
}

/// Accepts a job, unless all jobs together would take too much memory; nothing is kept of it then.
async fn submit(host: &Host, job: Arc<Job>) -> Reply {
    let (id, items) = (job.id.clone(), job.items.len());
    // A job that is part of the state was committed; its items are not sent to all hosts again.
    let kept = host.replica.read(|state| {
        let is_new = !state.jobs.contains_key(&id);
        is_new.then(|| Kept::new(state.jobs.values()))
    });
    let Some(kept) = kept else {
        info!(job:% = id, items = items; "jobs: handed in again");
        return Reply::Done;
    };
    let bytes = kept.expected_bytes(&job);
    let Some(_submission) = host.backlog.admit(kept.bytes, bytes) else {
        metrics::counter!("catkinlatch_jobs_refused").increment(1);
        warn!(
            job:% = id, items = items, bytes = bytes, kept = kept.bytes;
            "jobs: refused, too little memory"
        );
        return Reply::Nothing;
    };
    let reply = propose(host, Command::Submit(job)).await;
    info!(job:% = id, items = items, reply:? = reply; "jobs: handed in");
    reply
}

/// Commits a change to the replicated state.
async fn propose(host: &Host, command: Command) -> Reply {
    match host.replica.propose(command).await {
        Ok(Outcome::Done | Outcome::Overtaken) => Reply::Done,
        Ok(Outcome::UnknownJob) => Reply::NotFound,
        Err(ProposeError::NotLeader) => Reply::NotLeader(host.other_leader()),
        Err(ProposeError::Unknown) => Reply::Unknown,
    }
}

/// Returns the encoded answer to a long poll once the follower's view or configuration is out of
/// date, or [`Reply::Nothing`] when its wait has elapsed.
async fn answer_follow(host: &Arc<Host>, follow: &Follow) -> Bytes {
    let Some(term) = host.replica.fencing_token() else {
        return codec::encode(&Reply::NotLeader(host.other_leader()));
    };
    if host.soft_state().update_follower(follow, host.clock.now()) {
        host.publish_soon();
    }
    let until = Instant::now() + Duration::from_millis(follow.wait_ms);
    // Followers wait for these two alone: each change of the replicated state would wake all.
    let (mut revision, mut configuration) = (host.revision(), host.configuration_version());
    loop {
        let view_version = ViewVersion { term, revision: *revision.borrow_and_update() };
        let version = *configuration.borrow_and_update();
        let lacks_configuration = version > follow.version;
        if view_version != follow.view_version || lacks_configuration {
            let configuration = version.filter(|_| lacks_configuration);
            return host.encoded_view(view::Key { view_version, configuration });
        }
        tokio::select! {
            _ = revision.changed() => {}
            _ = configuration.changed() => {}
            () = time::sleep_until(until) => {}
        }
        if !leads(host, term) {
            return codec::encode(&Reply::NotLeader(host.other_leader()));
        }
        if Instant::now() >= until {
            return codec::encode(&Reply::Nothing);
        }
    }
}

/// Returns the results of a job from a position on, once there is at least one or the wait has
/// elapsed.
async fn read_results(
    host: &Arc<Host>,
    job: &JobId,
    is_owner: impl Fn(&Record) -> bool,
    after: u64,
    wait: Duration,
) -> Reply {
    let until = Instant::now() + wait;
    let mut applied = host.replica.applied();
    loop {
        applied.mark_unchanged();
        let results = host.replica.read(|state| {
            state
                .jobs
                .get(job)
                .filter(|record| is_owner(record))
                .map(|record| results(record, after))
        });
        let Some(results) = results else { return Reply::NotFound };
        let is_over = results.next >= results.total || Instant::now() >= until;
        if !results.list.is_empty() || is_over {
            return Reply::Results(results);
        }
        tokio::select! {
            _ = applied.changed() => {}
            () = time::sleep_until(until) => {}
        }
        if host.replica.fencing_token().is_none() {
            return Reply::NotLeader(host.other_leader());
        }
    }
}

fn results(record: &Record, after: u64) -> Results {
    let job = &record.job;
    let start = usize::try_from(after).unwrap_or(usize::MAX).min(record.results.len());
    let mut bytes = 0;
    let mut list = Vec::new();
    for outcome in &record.results[start..] {
        bytes += outcome.bytes();
        if !list.is_empty() && bytes > MAX_RESULTS_BYTES {
            break;
        }
        let id = job.items[outcome.item as usize].id.clone();
        list.push((id, outcome.clone()));
    }
    Results { total: job.items.len() as u64, next: after + list.len() as u64, list }
}

async fn retire(host: &Arc<Host>, name: &str) -> Reply {
    let retired = host.replica.read(|state| state.retiring.clone());
    if retired.values().any(|other| other == name) {
        return Reply::Done;
    }
    let Some(retiring) = find_store(host, name) else { return unknown_store(host) };
    let is_left = |store: &HostId| *store != retiring && !retired.contains_key(store);
    let remaining = host.stores().into_iter().filter(is_left).count();
    if remaining < 2 * host.settings.losses + 1 {
        warn!(
            name = name, left = remaining;
            "control: refused to retire a host, too few would be left"
        );
        return Reply::TooFew;
    }
    info!(name = name; "control: retiring a host");
    propose(host, Command::Retire { host: retiring, name: name.to_owned() }).await
}

fn retirement(host: &Arc<Host>, name: &str) -> Reply {
    let retiring = host.replica.read(|state| {
        let retiring = state.retiring.iter().find(|(_, other)| *other == name);
        retiring.map(|(host, _)| host.clone())
    });
    let Some(retiring) = retiring else {
        let is_known = find_store(host, name).is_some();
        return if is_known { Reply::Retired(false) } else { unknown_store(host) };
    };
    let status = host.replica.status().borrow().clone();
    let has_enough_voters = status.voters.len() > 2 * host.settings.losses;
    Reply::Retired(has_enough_voters && !status.voters.contains(&retiring))
}

/// Returns the reply for an unknown host name.
///
/// A newly elected leader may not know all stores yet, so it asks the caller to retry.
fn unknown_store(host: &Host) -> Reply {
    let is_new = host.replica.time_since_election().is_none_or(|time| time < DISCOVERY_TIME);
    if is_new { Reply::NotLeader(None) } else { Reply::NotFound }
}

fn find_store(host: &Host, name: &str) -> Option<HostId> {
    if name == host.settings.name {
        return Some(host.settings.host.clone());
    }
    let soft = host.soft_state();
    let mut stores = soft.stores();
    stores.find(|(_, other)| *other == name).map(|(host, _)| host.clone())
}

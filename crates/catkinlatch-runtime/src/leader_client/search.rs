//! Search for the leader while the presumed one does not answer.

use super::{Answer, LeaderClient};
use crate::{CallError, Message, Reply, settings::Waits};
use catkinlatch_base::HostId;
use futures::{StreamExt as _, stream::FuturesUnordered};
use log::info;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::{self, Instant};

/// Pause between the messages to two hosts, so that a search sends as many messages a second as
/// one that awaits each host's refusal.
const STAGGER: Duration = Duration::from_millis(40);

/// Timeout of a message to one host. Hosts that do not lead answer within milliseconds, and a host
/// that is frozen or cut off must not hold up the search.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl LeaderClient {
    /// Polls the leader; if it does not answer in time, also asks the other hosts, and the leader
    /// itself over a new connection, and returns the first answer of a leader.
    ///
    /// `message` lets the leader wait for `waits.poll`, and `probe` not at all. A poll that is
    /// answered in time sends nothing else. Returns [`Answer::NotDone`] if none answered before
    /// `limit`.
    pub async fn poll(
        &self,
        message: &Message,
        probe: &Message,
        waits: &Waits,
        limit: Duration,
    ) -> Answer {
        let until = Instant::now() + limit;
        let Some(leader) = self.leader() else { return self.search(None, probe, until).await };
        let first = self.peers.call::<Reply>(&leader, message, limit);
        let silence = time::sleep(waits.poll + waits.silence);
        tokio::pin!(first, silence);
        tokio::select! {
            biased;
            reply = &mut first => return self.finish(&leader, reply, probe, until).await,
            () = &mut silence => {}
        }
        info!(host:% = leader; "peer: the leader is silent; asking the others");
        let renewed = async {
            time::sleep(waits.renewal - waits.silence).await;
            self.peers.call_anew::<Reply>(&leader, probe, PROBE_TIMEOUT).await
        };
        let search = self.search(Some(&leader), probe, until);
        tokio::pin!(renewed, search);
        let mut is_renewing = true;
        loop {
            tokio::select! {
                biased;
                reply = &mut first => return self.finish(&leader, reply, probe, until).await,
                answer = &mut search => {
                    if matches!(answer, Answer::NotDone) {
                        self.record_not_leader(&leader, None);
                    }
                    return answer;
                }
                reply = &mut renewed, if is_renewing => {
                    is_renewing = false;
                    if let Some(answer) = self.accept(leader.clone(), reply) {
                        return answer;
                    }
                }
            }
        }
    }

    /// Returns the presumed leader's reply, or searches for another one if it does not lead.
    async fn finish(
        &self,
        host: &HostId,
        reply: Result<Reply, CallError>,
        probe: &Message,
        until: Instant,
    ) -> Answer {
        let next = match &reply {
            Ok(Reply::NotLeader(next)) => next.clone().filter(|next| next != host),
            Ok(_) | Err(_) => None,
        };
        if let Some(answer) = self.accept(host.clone(), reply) {
            return answer;
        }
        self.record_not_leader(host, next);
        self.search(None, probe, until).await
    }

    /// Asks hosts in turn, several at a time, until a leader answers; leaves out `silent`.
    async fn search(&self, silent: Option<&HostId>, probe: &Message, until: Instant) -> Answer {
        let ask = async |host: HostId| {
            let reply = self.peers.call::<Reply>(&host, probe, PROBE_TIMEOUT).await;
            (host, reply)
        };
        let (mut pending, mut asked) = (FuturesUnordered::new(), BTreeSet::new());
        // Hosts that were asked at once because another named them; each is so only once, since two
        // hosts may name each other during an election.
        let mut jumped = BTreeSet::new();
        let mut named = self.leader().filter(|leader| Some(leader) != silent);
        let mut outcomes = BTreeMap::new();
        while Instant::now() < until {
            let next = named.take().or_else(|| self.next_candidate(silent));
            if let Some(host) = next.filter(|host| !asked.contains(host)) {
                asked.insert(host.clone());
                pending.push(ask(host));
            }
            let pause = time::sleep(STAGGER.min(until - Instant::now()));
            tokio::pin!(pause);
            loop {
                let (host, reply) = tokio::select! {
                    Some(answered) = pending.next() => answered,
                    () = &mut pause => break,
                };
                asked.remove(&host);
                outcomes.insert(host.clone(), describe(&reply));
                if let Ok(Reply::NotLeader(Some(leader))) = &reply
                    && Some(leader) != silent
                    && !asked.contains(leader)
                {
                    named = Some(leader.clone());
                }
                if let Some(answer) = self.accept(host, reply) {
                    return answer;
                }
                if named.as_ref().is_some_and(|named| jumped.insert(named.clone())) {
                    break;
                }
            }
        }
        log_outcomes(&outcomes);
        Answer::NotDone
    }

    /// Returns a reply of a leader, which is recorded as the presumed leader; `None` if the host
    /// does not lead or did not answer.
    fn accept(&self, host: HostId, reply: Result<Reply, CallError>) -> Option<Answer> {
        match reply {
            // Hosts that hold no state answer like this.
            Ok(Reply::NotLeader(_) | Reply::Unknown | Reply::NotFound) => None,
            Ok(reply) => {
                self.replace_leader(host);
                Some(Answer::Reply(reply))
            }
            Err(error) => {
                info!(host:% = host, reason:% = error; "peer: a host did not answer");
                None
            }
        }
    }

    /// Returns the next known host in turn, other than `silent`.
    fn next_candidate(&self, silent: Option<&HostId>) -> Option<HostId> {
        let mut known = self.lock();
        let count = known.hosts.len();
        for _ in 0..count {
            known.next = (known.next + 1) % count;
            let host = &known.hosts[known.next];
            if Some(host) != silent {
                return Some(host.clone());
            }
        }
        None
    }

    fn replace_leader(&self, host: HostId) {
        let mut known = self.lock();
        if known.leader.as_ref() != Some(&host) {
            info!(host:% = host; "peer: found the leader");
            known.leader = Some(host);
        }
    }
}

/// Describes what came of a message to a host that does not lead.
fn describe(reply: &Result<Reply, CallError>) -> String {
    match reply {
        Ok(Reply::NotLeader(Some(leader))) => format!("names {leader}"),
        Ok(Reply::NotLeader(None)) => "knows no leader".to_owned(),
        Ok(Reply::NotFound) => "holds no state".to_owned(),
        Ok(_) => "does not know whether it leads".to_owned(),
        Err(CallError::NotSent { .. }) => "is not connected".to_owned(),
        Err(CallError::Unknown { .. }) => "did not answer".to_owned(),
    }
}

/// Logs what each host answered last in a search that found no leader.
fn log_outcomes(outcomes: &BTreeMap<HostId, String>) {
    let outcomes: Vec<String> =
        outcomes.iter().map(|(host, outcome)| format!("{host} {outcome}")).collect();
    info!(hosts = outcomes.join(", "); "peer: no host leads");
}

//! Passes inputs to the log's state machine and executes the resulting actions.

use super::{Member, ProposeError, Status, log_opened, recovery, storage::Opened, wrap};
use crate::{Clock, Peers};
use catkinlatch_base::{HostId, Instant};
use catkinlatch_ledger::{Command, Reply, State};
use catkinlatch_log::{
    Action, Core, Frame, Input, Refusal, Report, Token,
    storage::{Completion, Disk, Trust, Writer},
};
use log::{error, info, warn};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};

/// Maximum number of inputs in one step, which share one write.
const MAX_BATCH: usize = 1024;

/// A request to the driver.
pub enum Request {
    /// Handles a frame from another host.
    Receive(Box<Frame<Command>>),
    /// Commits a change.
    Propose {
        /// The change.
        command: Box<Command>,
        /// Receives the reply once the change is applied, or the error.
        answer: oneshot::Sender<Result<Reply, ProposeError>>,
    },
    /// Replaces the seeds.
    SetSeeds(Vec<HostId>),
}

/// Watches through which the driver publishes its progress.
pub struct Watches {
    /// Number of changes that were applied since the start.
    pub applied: watch::Sender<u64>,
    /// Status of this host in the log.
    pub status: watch::Sender<Status>,
}

/// Task that drives the log's state machine.
pub struct Driver {
    core: Arc<Mutex<Core<State>>>,
    clock: Clock,
    peers: Arc<Peers>,
    member: Member,
    writer: Writer<Command>,
    requests: mpsc::Receiver<Request>,
    completions: mpsc::UnboundedReceiver<Completion>,
    /// Receives the storage once its disk works again; `None` unless it has failed.
    recovery: Option<oneshot::Receiver<Opened>>,
    watches: Watches,
    /// Proposals without a reply yet.
    pending: BTreeMap<Token, oneshot::Sender<Result<Reply, ProposeError>>>,
    next_token: u64,
    /// Time of the next tick if there is no other input before.
    wake: Instant,
}

impl Driver {
    /// Creates the driver and starts the thread that writes to the disk.
    pub fn new(
        core: Arc<Mutex<Core<State>>>,
        clock: Clock,
        peers: Arc<Peers>,
        member: Member,
        disk: Disk,
        requests: mpsc::Receiver<Request>,
        watches: Watches,
    ) -> Self {
        let (writer, completions) = start_writer(disk);
        let wake = clock.now();
        Self {
            core,
            clock,
            peers,
            member,
            writer,
            requests,
            completions,
            recovery: None,
            watches,
            pending: BTreeMap::new(),
            next_token: 0,
            wake,
        }
    }

    /// Runs until all senders of requests are dropped.
    pub async fn run(mut self) {
        while let Some(inputs) = self.next_inputs().await {
            let now = self.clock.now();
            let actions = self.lock().step_batch(now, inputs);
            self.execute(actions);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Core<State>> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for input and returns all that is ready, or `None` if all senders were dropped.
    async fn next_inputs(&mut self) -> Option<Vec<Input<Command>>> {
        let wake = self.clock.timer(self.wake);
        let mut inputs = Vec::new();
        tokio::select! {
            biased;
            Some(completion) = self.completions.recv() => inputs.push(self.complete(completion)),
            opened = reopened(&mut self.recovery) => self.rejoin(opened),
            request = self.requests.recv() => {
                let input = self.accept(request?);
                inputs.push(input);
            }
            () = time::sleep_until(wake) => inputs.push(Input::Tick),
        }
        while let Ok(completion) = self.completions.try_recv() {
            inputs.push(self.complete(completion));
        }
        while inputs.len() < MAX_BATCH
            && let Ok(request) = self.requests.try_recv()
        {
            let input = self.accept(request);
            inputs.push(input);
        }
        Some(inputs)
    }

    /// Converts a completion to an input, and starts to try the disk if it failed.
    fn complete(&mut self, completion: Completion) -> Input<Command> {
        if let Completion::Failed(trust) = completion {
            self.recover(trust);
        }
        completion.into()
    }

    fn recover(&mut self, trust: Trust) {
        warn!(trust:? = trust; "control: the storage failed; this host is out of the control log");
        self.recovery = Some(recovery::start(self.member.folder.clone(), trust));
    }

    /// Joins the log again from what the opened storage holds.
    fn rejoin(&mut self, opened: Opened) {
        self.recovery = None;
        let now = self.clock.now();
        let mut core = self.member.join(opened.identity, opened.restored, now);
        log_opened(&core);
        let contacts: Vec<HostId> = self.lock().contacts().cloned().collect();
        core.add_contacts(now, &contacts);
        *self.lock() = core;
        (self.writer, self.completions) = start_writer(opened.disk);
    }

    /// Converts a request to an input and registers the receiver of its reply.
    fn accept(&mut self, request: Request) -> Input<Command> {
        match request {
            Request::Receive(frame) => Input::Receive(*frame),
            Request::SetSeeds(seeds) => {
                self.lock().set_seeds(&seeds);
                self.member.set_seeds(&seeds);
                Input::Tick
            }
            Request::Propose { command, answer } => {
                self.next_token += 1;
                let token = Token::new(self.next_token);
                self.pending.insert(token, answer);
                Input::Propose { token, command: *command }
            }
        }
    }

    fn execute(&mut self, actions: Vec<Action<Command, Reply>>) {
        let mut applied = 0;
        for action in actions {
            match action {
                Action::Persist(write) => self.writer.write(write),
                Action::Applied { token, reply, .. } => {
                    applied += 1;
                    if let Some(answer) = token.and_then(|token| self.pending.remove(&token)) {
                        let _ = answer.send(Ok(reply));
                    }
                }
                Action::Restored { index } => {
                    applied += 1;
                    info!(index = index.get(); "control: restored the leader's snapshot");
                }
                Action::Send { to, frame } => self.peers.send(&to, &wrap(frame)),
                Action::ReadReady { .. } => {}
                Action::Refused { token, refusal } => self.refuse(token, &refusal),
                Action::RoleChanged { role, term, leader } => {
                    let leader = leader.map(|leader| leader.host);
                    let name = leader.as_ref().map_or("unknown", |leader| leader.as_str());
                    info!(role:% = role, term = term.get(), leader = name; "control: role");
                }
                Action::Report(report) => log_report(&report),
                Action::Wake { at } => self.wake = at,
            }
        }
        if applied > 0 {
            self.update_retiring();
            self.watches.applied.send_modify(|count| *count += applied);
        }
        self.publish();
    }

    fn refuse(&mut self, token: Token, refusal: &Refusal) {
        let error = match refusal {
            Refusal::NotLeader { .. }
            | Refusal::Overloaded
            | Refusal::Lost
            | Refusal::Unreachable { .. } => ProposeError::NotLeader,
            Refusal::Unknown => ProposeError::Unknown,
        };
        if let Some(answer) = self.pending.remove(&token) {
            let _ = answer.send(Err(error));
        }
    }

    /// Passes the retiring hosts to the log, which keeps them from voting.
    fn update_retiring(&self) {
        let mut core = self.lock();
        let retiring: BTreeSet<_> = core.machine().retiring.keys().cloned().collect();
        core.set_retiring(retiring);
    }

    /// Publishes the status if it has changed.
    fn publish(&self) {
        let core = self.lock();
        let status = Status {
            role: Some(core.role()),
            term: core.term(),
            leader: core.leader().map(|leader| leader.host.clone()),
            voters: core.voters().iter().map(|voter| voter.host.clone()).collect(),
        };
        self.watches.status.send_if_modified(|held| {
            let is_new = *held != status;
            *held = status;
            is_new
        });
    }
}

/// Starts the thread that writes to the disk.
fn start_writer(disk: Disk) -> (Writer<Command>, mpsc::UnboundedReceiver<Completion>) {
    let (completed, completions) = mpsc::unbounded_channel();
    let complete = move |completion| completed.send(completion).is_ok();
    (Writer::start(disk, complete), completions)
}

/// Waits for the storage to be opened again; never returns if it has not failed.
async fn reopened(recovery: &mut Option<oneshot::Receiver<Opened>>) -> Opened {
    match recovery {
        Some(opened) => match opened.await {
            Ok(opened) => opened,
            Err(_) => std::future::pending().await,
        },
        None => std::future::pending().await,
    }
}

fn log_report(report: &Report) {
    match report {
        Report::Members { .. } => info!("control: {report}"),
        Report::DiskQuorumLost { .. } | Report::Leaderless(_) => warn!("control: {report}"),
        Report::NoReplacement { .. } => error!("control: {report}"),
    }
}

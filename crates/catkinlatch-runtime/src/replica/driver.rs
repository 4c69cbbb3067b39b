//! Feeds the log's state machine with inputs and carries out its actions.

use super::{ProposeError, Status, wrap};
use crate::{Clock, Peers};
use catkinlatch_base::Instant;
use catkinlatch_ledger::{Command, Reply, State};
use catkinlatch_log::{
    Action, Core, Frame, Input, Refusal, Report, Token,
    storage::{Disk, Writer},
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

/// The most inputs that share one step, and so one write.
const MAX_BATCH: usize = 1024;

/// What the driver is asked.
pub enum Request {
    /// Take a frame from another host.
    Receive(Box<Frame<Command>>),
    /// Commit a change.
    Propose {
        /// The change.
        command: Box<Command>,
        /// Where the answer goes.
        answer: oneshot::Sender<Result<Reply, ProposeError>>,
    },
}

/// What others see of the log.
pub struct Published {
    /// Counts changes that were applied.
    pub applied: watch::Sender<u64>,
    /// What this host does.
    pub status: watch::Sender<Status>,
}

/// Drives the state machine.
pub struct Driver {
    core: Arc<Mutex<Core<State>>>,
    clock: Clock,
    peers: Arc<Peers>,
    writer: Writer<Command>,
    requests: mpsc::Receiver<Request>,
    completions: mpsc::UnboundedReceiver<Input<Command>>,
    published: Published,
    owed: BTreeMap<Token, oneshot::Sender<Result<Reply, ProposeError>>>,
    next_token: u64,
    wake: Instant,
}

impl Driver {
    /// Creates the driver of a host that starts.
    pub fn new(
        core: Arc<Mutex<Core<State>>>,
        clock: Clock,
        peers: Arc<Peers>,
        disk: Disk,
        requests: mpsc::Receiver<Request>,
        published: Published,
    ) -> Self {
        let (told, completions) = mpsc::unbounded_channel();
        let complete = move |completion| told.send(completion).is_ok();
        let wake = clock.now();
        Self {
            core,
            clock,
            peers,
            writer: Writer::start(disk, complete),
            requests,
            completions,
            published,
            owed: BTreeMap::new(),
            next_token: 0,
            wake,
        }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        while let Some(inputs) = self.gather().await {
            let now = self.clock.now();
            let actions = self.lock().step_batch(now, inputs);
            self.carry_out(actions);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Core<State>> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for input, and takes all that is ready.
    async fn gather(&mut self) -> Option<Vec<Input<Command>>> {
        let wake = self.clock.timer(self.wake);
        let mut inputs = Vec::new();
        tokio::select! {
            biased;
            completion = self.completions.recv() => inputs.extend(completion),
            request = self.requests.recv() => {
                let input = self.accept(request?);
                inputs.push(input);
            }
            () = time::sleep_until(wake) => inputs.push(Input::Tick),
        }
        while let Ok(completion) = self.completions.try_recv() {
            inputs.push(completion);
        }
        while inputs.len() < MAX_BATCH
            && let Ok(request) = self.requests.try_recv()
        {
            let input = self.accept(request);
            inputs.push(input);
        }
        Some(inputs)
    }

    fn accept(&mut self, request: Request) -> Input<Command> {
        match request {
            Request::Receive(frame) => Input::Receive(*frame),
            Request::Propose { command, answer } => {
                self.next_token += 1;
                let token = Token::new(self.next_token);
                self.owed.insert(token, answer);
                Input::Propose { token, command: *command }
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action<Command, Reply>>) {
        let mut applied = 0;
        for action in actions {
            match action {
                Action::Persist(write) => self.writer.write(write),
                Action::Applied { token, reply, .. } => {
                    applied += 1;
                    if let Some(answer) = token.and_then(|token| self.owed.remove(&token)) {
                        let _ = answer.send(Ok(reply));
                    }
                }
                Action::Restored { index } => {
                    applied += 1;
                    info!(index = index.get(); "control: took the state from the leader");
                }
                Action::Send { to, frame } => self.peers.send(&to, &wrap(frame)),
                Action::ReadReady { .. } => {}
                Action::Refused { token, refusal } => self.refuse(token, &refusal),
                Action::Changed { role, term, leader } => {
                    let leader = leader.map(|leader| leader.host);
                    let name = leader.as_ref().map_or("unknown", |leader| leader.as_str());
                    info!(role:% = role, term = term.get(), leader = name; "control: role");
                }
                Action::Report(report) => report_finding(&report),
                Action::Wake { at } => self.wake = at,
            }
        }
        if applied > 0 {
            self.heed_retiring();
            self.published.applied.send_modify(|count| *count += applied);
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
        if let Some(answer) = self.owed.remove(&token) {
            let _ = answer.send(Err(error));
        }
    }

    /// Keeps hosts that are to hold no state from voting.
    fn heed_retiring(&self) {
        let mut core = self.lock();
        let retiring: BTreeSet<_> = core.machine().retiring.keys().cloned().collect();
        core.set_retiring(retiring);
    }

    fn publish(&self) {
        let core = self.lock();
        let status = Status {
            role: Some(core.role()),
            term: core.term(),
            leader: core.leader().map(|leader| leader.host.clone()),
            voters: core.voters().iter().map(|voter| voter.host.clone()).collect(),
        };
        self.published.status.send_if_modified(|held| {
            let is_new = *held != status;
            *held = status;
            is_new
        });
    }
}

fn report_finding(report: &Report) {
    match report {
        Report::Members { .. } => info!("control: {report}"),
        Report::DisksOutvoted { .. } => warn!("control: {report}"),
        Report::NoSpare { .. } => error!("control: {report}"),
    }
}

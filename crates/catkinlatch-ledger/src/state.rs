//! The replicated state.

use crate::{Command, Count, Job, Record, Reply, Tally, Window, config::Document};
use catkinlatch_base::{
    HostId, Incarnation, JobId, ModelId, ServiceId, TeamId, Version, WindowId, ZoneId, derive_value,
};
use catkinlatch_log::{Index, Machine};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Maximum number of closed usage windows that are kept. Older ones are dropped, and cannot be
/// closed again.
const MAX_CLOSED_WINDOWS: usize = 64;

derive_value! {
    /// The state machine that the hosts with a disk replicate.
    #[derive(Default)]
    pub struct State {
        /// The current configuration; `None` until the first one is sent.
        pub document: Option<Document>,
        /// The highest version of each model's weights that was announced.
        pub versions: BTreeMap<ModelId, Version>,
        /// The jobs that were accepted and not yet removed.
        pub jobs: BTreeMap<JobId, Record>,
        /// The counts of each process in the windows that are still open.
        pub counted: BTreeMap<WindowId, BTreeMap<Incarnation, Vec<Count>>>,
        /// The latest closed usage windows.
        pub windows: BTreeMap<WindowId, Window>,
        /// The hosts that are to store no replicated state, with the names of their machines.
        pub retiring: BTreeMap<HostId, String>,
        /// The zones whose targets are sent nothing new. Snapshots of earlier releases end before
        /// this field.
        #[serde(deserialize_with = "catkinlatch_base::trailing::deserialize")]
        pub evacuated: BTreeSet<ZoneId>,
    }
}

impl State {
    /// Returns the services that requests and items may go to: those of the configuration, and those
    /// of jobs that were accepted under an earlier one. `None` without a configuration.
    pub fn services(&self) -> Option<BTreeSet<ServiceId>> {
        let services = &self.document.as_ref()?.configuration.services;
        let named = services.iter().map(|service| &service.name);
        let used = self.jobs.values().map(|record| &record.job.service);
        let services: BTreeSet<&ServiceId> = named.chain(used).collect();
        Some(services.into_iter().cloned().collect())
    }

    /// Returns the closed windows whose report the platform has not accepted yet.
    pub fn unreported(&self) -> impl Iterator<Item = (WindowId, &Window)> {
        let windows = self.windows.iter().map(|(id, window)| (*id, window));
        windows.filter(|(_, window)| !window.is_reported)
    }

    /// Returns the latest closed window.
    pub fn last_window(&self) -> Option<WindowId> {
        self.windows.last_key_value().map(|(window, _)| *window)
    }

    fn configure(&mut self, document: &Document) -> Reply {
        let version = document.configuration.version;
        let current = self.document.as_ref().map(|current| current.configuration.version);
        if current.is_some_and(|current| version <= current) {
            return Reply::Overtaken;
        }
        self.document = Some(document.clone());
        Reply::Done
    }

    fn record_version(&mut self, model: &ModelId, version: Version) -> Reply {
        let current = self.versions.entry(model.clone()).or_insert(version);
        *current = version.max(*current);
        Reply::Done
    }

    fn submit(&mut self, job: &Arc<Job>) -> Reply {
        let new = || Record::new(job.clone());
        self.jobs.entry(job.id.clone()).or_insert_with(new);
        Reply::Done
    }

    fn with_job(&mut self, job: &JobId, change: impl FnOnce(&mut Record) -> Reply) -> Reply {
        self.jobs.get_mut(job).map_or(Reply::UnknownJob, change)
    }

    fn count(&mut self, counted: &[Tally]) -> Reply {
        let last = self.last_window();
        for Tally { source, window, counts } in open_counts(counted, last) {
            let current = self.counted.entry(*window).or_default().entry(*source).or_default();
            if total_requests(counts) >= total_requests(current) {
                *current = counts.clone();
            }
        }
        Reply::Done
    }

    fn close_window(&mut self, window: WindowId) -> Reply {
        if self.last_window().is_some_and(|last| window <= last) {
            return Reply::Overtaken;
        }
        let mut sums: BTreeMap<TeamId, u64> = BTreeMap::new();
        let counted = self.counted.get(&window).into_iter().flat_map(BTreeMap::values).flatten();
        for count in counted {
            *sums.entry(count.team.clone()).or_default() += count.requests;
        }
        let counts = sums.into_iter().map(|(team, requests)| Count { team, requests }).collect();
        self.windows.insert(window, Window { counts, is_reported: false });
        self.counted = self.counted.split_off(&window.next());
        while self.windows.len() > MAX_CLOSED_WINDOWS {
            self.windows.pop_first();
        }
        Reply::Done
    }
}

impl Machine for State {
    type Command = Command;
    type Reply = Reply;

    fn command_bytes(command: &Command) -> usize {
        command.bytes()
    }

    fn bytes(&self) -> usize {
        let document = self.document.as_ref().map_or(0, Document::bytes);
        document + self.jobs.values().map(Record::bytes).sum::<usize>()
    }

    fn apply(&mut self, _: Index, command: &Command) -> Reply {
        match command {
            Command::Configure(document) => self.configure(document),
            Command::RecordVersion { model, version } => self.record_version(model, *version),
            Command::Submit(job) => self.submit(job),
            Command::Advance(advances) => {
                for advance in advances {
                    if let Some(record) = self.jobs.get_mut(&advance.job) {
                        record.advance(advance);
                    }
                }
                Reply::Done
            }
            Command::Finish { job, outcome } => self.with_job(job, |record| {
                if record.finish(outcome) { Reply::Done } else { Reply::Overtaken }
            }),
            Command::End { job } => self.with_job(job, |record| {
                record.end();
                Reply::Done
            }),
            Command::Forget { job } => {
                self.jobs.remove(job);
                Reply::Done
            }
            Command::Count(counted) => self.count(counted),
            Command::CloseWindow { window } => self.close_window(*window),
            Command::WindowReported { window } => {
                if let Some(window) = self.windows.get_mut(window) {
                    window.is_reported = true;
                }
                Reply::Done
            }
            Command::Retire { host, name } => {
                self.retiring.insert(host.clone(), name.clone());
                Reply::Done
            }
            Command::Evacuate { zone } => {
                self.evacuated.insert(zone.clone());
                Reply::Done
            }
            Command::Restore { zone } => {
                self.evacuated.remove(zone);
                Reply::Done
            }
        }
    }
}

/// Returns the counts of windows that are still open, which are those after the last closed one.
fn open_counts(counted: &[Tally], last: Option<WindowId>) -> impl Iterator<Item = &Tally> {
    counted.iter().filter(move |counted| last.is_none_or(|last| counted.window > last))
}

fn total_requests(counts: &[Count]) -> u64 {
    counts.iter().map(|count| count.requests).sum()
}

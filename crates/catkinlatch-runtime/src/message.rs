//! Messages between processes.

mod exchange;
mod follow;
mod results;

pub use self::{
    exchange::{
        AllowanceDemand, AllowanceShare, Cooldown, Demand, Durations, Guidance, Observation,
        Places, Report, Scope, Stated,
    },
    follow::{Entry, Follow, Role, View, ViewVersion},
    results::Results,
};

use bytes::Bytes;
use catkinlatch_base::{
    BuildId, HostId, JobId, ModelId, RequestId, ServiceId, TargetId, TeamId, Version, ZoneId,
    derive_value,
};
use catkinlatch_ledger::{Command, Job, Target, config::Document, suspect::Change};
use catkinlatch_log::Frame;
use catkinlatch_state::suspect::{self, Suspects};
use std::sync::Arc;

derive_value! {
    /// A message from one process to another; all are for the leader, unless they say otherwise.
    pub enum Message {
        /// First message of a session with any process; needs no answer.
        Greeting,
        /// Carries a frame of the replicated log to any process; not answered.
        Log(Box<Frame<Command>>),
        /// Reports the state of a process and waits for a newer view of the leader.
        Follow(Follow),
        /// Submits a batch job.
        Submit(Arc<Job>),
        /// Requests results of a job, starting at a position.
        Read {
            /// The job.
            job: JobId,
            /// The requesting team, which must own the job.
            team: Option<TeamId>,
            /// Number of results to skip: the position of the first one requested.
            after: u64,
            /// Maximum time to wait for a result, in milliseconds.
            wait_ms: u64,
        },
        /// Requests the body of an unfinished item.
        Body {
            /// The job.
            job: JobId,
            /// The requesting team, which must own the job.
            team: Option<TeamId>,
            /// The item's id.
            item: String,
        },
        /// Ends a job; results so far are kept.
        End {
            /// The job.
            job: JobId,
            /// The requesting team, which must own the job.
            team: Option<TeamId>,
        },
        /// Puts a configuration in force.
        Configure(Document),
        /// Requests the configuration in force.
        Configuration,
        /// Registers a target or renews its registration.
        Register(Box<Target>),
        /// Withdraws a target that is shutting down, without naming its start.
        Withdraw(TargetId),
        /// Records a version of a model's weights.
        RecordVersion {
            /// The model.
            model: ModelId,
            /// The version.
            version: Version,
        },
        /// Retires the host whose machine has this name: it is to hold no replicated state.
        Retire(String),
        /// Asks whether the host whose machine has this name is retired completely.
        Retirement(String),
        /// Reports what a request did to a target, or asks for a run of a request that may crash
        /// targets.
        Suspect(Change),
        /// Waits for a newer version of the requests that crashed targets.
        FollowSuspects {
            /// Version that the process holds.
            known: ViewVersion,
            /// Maximum time to wait for a newer version, in milliseconds.
            wait_ms: u64,
        },
        /// Reports that a target said in an answer that it leaves.
        Leaving {
            /// The target.
            target: TargetId,
            /// The start of the target, in milliseconds since the Unix epoch.
            born_ms: u64,
        },
        /// Reports load and observations of an entry host, and requests guidance.
        Exchange(Box<Report>),
        /// Asks that nothing more is sent to the targets of a zone.
        Evacuate(ZoneId),
        /// Ends the evacuation of a zone.
        Restore(ZoneId),
        /// Requests one place of a service for a host whose share has none left.
        RequestPlace {
            /// The host.
            host: HostId,
            /// The service.
            service: ServiceId,
        },
        /// Asks whether a host may retry a target in cooldown.
        RequestRetry {
            /// The host.
            host: HostId,
            /// The target.
            target: TargetId,
        },
        /// Has a host with a disk, leader or not, keep a record of which build began a stream.
        RecordOrigin {
            /// The attempt of a caller that brought the first event.
            attempt: RequestId,
            /// The build of the target that generated it.
            build: BuildId,
        },
        /// Asks a host with a disk, leader or not, which build began a stream.
        FindOrigin(RequestId),
        /// Withdraws a start of a target that is shutting down.
        WithdrawStart {
            /// The target.
            target: TargetId,
            /// The start of the target, in milliseconds since the Unix epoch.
            born_ms: u64,
        },
    }
}

impl Message {
    /// Returns what to send instead to a leader of an earlier release, which refuses this message.
    pub fn for_earlier_release(&self) -> Option<Self> {
        match self {
            Self::WithdrawStart { target, born_ms } => {
                Some(Self::Leaving { target: target.clone(), born_ms: *born_ms })
            }
            _ => None,
        }
    }
}

derive_value! {
    /// The answer to a message.
    pub enum Reply {
        /// No content, for example because the wait ended without a newer view.
        Nothing,
        /// Nothing was done, because this process does not lead or holds no valid lease; names the
        /// leader if it is known.
        NotLeader(Option<HostId>),
        /// The request may or may not have been carried out.
        Unknown,
        /// A view that is newer than the one of the process that asked.
        Followed(Box<View>),
        /// The request was carried out.
        Done,
        /// The message refers to something that does not exist.
        NotFound,
        /// The host cannot be retired because too few would remain.
        TooFew,
        /// Results of a job.
        Results(Results),
        /// The body of an item.
        Body(Bytes),
        /// The configuration in force as it was submitted, if there is one.
        Configuration(Option<Bytes>),
        /// Whether the host no longer holds replicated state.
        Retired(bool),
        /// The effect of a change of the suspects.
        Suspect(suspect::Reply),
        /// The requests that may crash targets.
        Suspects {
            /// Version of the list.
            version: ViewVersion,
            /// The list.
            suspects: Box<Suspects>,
        },
        /// The answer to a report.
        Exchanged(Box<Guidance>),
        /// Whether the host may use one more place of the service until its next guidance.
        Place(bool),
        /// Whether the host may retry the target with one request.
        Retry(bool),
        /// The build that began a stream, if it is known.
        Origin(Option<BuildId>),
    }
}

//! What processes say to each other.

mod follow;
mod results;

pub use self::{
    follow::{Entry, Follow, Role, Seen, View},
    results::Results,
};

use bytes::Bytes;
use catkinlatch_base::{HostId, JobId, ModelId, TargetId, TeamId, Version, derive_value};
use catkinlatch_ledger::{Command, Job, Target, config::Document};
use catkinlatch_log::Frame;
use std::sync::Arc;

derive_value! {
    /// A message from one process to another.
    pub enum Message {
        /// Opens a session.
        Greeting,
        /// Belongs to the replicated log.
        Log(Box<Frame<Command>>),
        /// Tells the leader what a process holds, and waits for what is newer.
        Follow(Follow),
        /// Hands in a batch job.
        Submit(Arc<Job>),
        /// Asks for results of a job from a position on.
        Read {
            /// The job.
            job: JobId,
            /// The team that asks.
            team: Option<TeamId>,
            /// The first position.
            after: u64,
            /// How long to wait for a result, in milliseconds.
            wait_ms: u64,
        },
        /// Asks for the body of an item.
        Body {
            /// The job.
            job: JobId,
            /// The team that asks.
            team: Option<TeamId>,
            /// The item.
            item: String,
        },
        /// Ends a job.
        End {
            /// The job.
            job: JobId,
            /// The team that asks.
            team: Option<TeamId>,
        },
        /// Puts a configuration in force.
        Configure(Document),
        /// Asks for the configuration in force.
        Configuration,
        /// A target says what it is.
        Register(Box<Target>),
        /// A target says that it ends.
        Withdraw(TargetId),
        /// A trainer names a version.
        NameVersion {
            /// The model.
            model: ModelId,
            /// The version.
            version: Version,
        },
        /// Asks that the machine of this name hold no state.
        Retire(String),
        /// Asks how far that is.
        Retirement(String),
    }
}

derive_value! {
    /// The answer to a message.
    pub enum Reply {
        /// There is nothing to say.
        Nothing,
        /// This process does not lead, or cannot be sure that it does; nothing was done.
        NotLeader(Option<HostId>),
        /// Whether it was done is not known.
        Unknown,
        /// What a follower does not hold yet.
        Followed(Box<View>),
        /// It was done.
        Done,
        /// It names nothing that exists.
        NotFound,
        /// Too few hosts would be left.
        TooFew,
        /// Results of a job.
        Results(Results),
        /// The body of an item.
        Body(Bytes),
        /// The configuration in force, as it was sent.
        Configuration(Option<Bytes>),
        /// Whether a machine holds no state any more.
        Retired(bool),
    }
}

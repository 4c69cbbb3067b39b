//! Typed events of the time line.

use crate::{
    BatchNumber, HostId, KeyId, OrderId, RequestId, Revision, TargetId, TeamId, Term, TrainerId,
    Version, WindowId,
};
use derive_more::Display;

crate::derive_schema! {
    /// When and where an event happened.
    #[derive(Eq, PartialOrd, Ord, Display)]
    #[display("{wall_ms}.{counter}@{host}")]
    pub struct Stamp {
        /// Milliseconds since the Unix epoch on a hybrid logical clock.
        pub wall_ms: u64,
        /// Orders events of one millisecond.
        pub counter: u32,
        /// The host that recorded the event.
        pub host: HostId,
    }
}

crate::derive_schema! {
    /// One event of the time line.
    #[derive(Eq, Display)]
    #[display("{stamp} {kind}")]
    pub struct Event {
        /// When and where it happened.
        pub stamp: Stamp,
        /// What happened.
        pub kind: Kind,
    }
}

crate::derive_schema! {
    /// What happened; never holds a caller's secret.
    #[derive(Eq, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A node became leader of the control log.
        #[display("control: became leader of term {term}")]
        Leader {
            /// The term it leads.
            term: Term,
        },
        /// A change was committed.
        #[display("control: revision {revision} is in force")]
        Committed {
            /// The revision that it made.
            revision: Revision,
        },
        /// A key was withdrawn.
        #[display("control: key {key} of team {team} is withdrawn")]
        KeyWithdrawn {
            /// The key's public part.
            key: KeyId,
            /// The team it belonged to.
            team: TeamId,
        },
        /// A request was sent to a target.
        #[display("entry: sent request {request} of team {team} to target {target}")]
        Sent {
            /// The request.
            request: RequestId,
            /// The team that it runs for.
            team: TeamId,
            /// The target that it was sent to.
            target: TargetId,
        },
        /// A request was answered whole.
        #[display("entry: answered request {request} of team {team} with status {status}")]
        Answered {
            /// The request.
            request: RequestId,
            /// The team that it ran for.
            team: TeamId,
            /// The HTTP status.
            status: u16,
        },
        /// A request was refused.
        #[display("entry: refused request {request}: {code}")]
        Refused {
            /// The request.
            request: RequestId,
            /// The code of the refusal.
            code: String,
        },
        /// A target announced itself.
        #[display("targets: target {target} announced itself")]
        TargetUp {
            /// The target.
            target: TargetId,
        },
        /// An order was sent.
        #[display("orders: sent order {order} under term {term}")]
        OrderSent {
            /// The order.
            order: OrderId,
            /// The fencing number.
            term: Term,
        },
        /// A batch was committed.
        #[display("rollout: committed batch {batch} of trainer {trainer}")]
        BatchCommitted {
            /// The trainer.
            trainer: TrainerId,
            /// The batch.
            batch: BatchNumber,
        },
        /// A trainer published weights.
        #[display("rollout: trainer {trainer} published version {version}")]
        VersionPublished {
            /// The trainer.
            trainer: TrainerId,
            /// The version.
            version: Version,
        },
        /// A usage window was reported.
        #[display("usage: reported window {window}")]
        WindowReported {
            /// The window.
            window: WindowId,
        },
    }
}

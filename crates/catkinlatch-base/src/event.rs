//! Typed events of the timeline.

use crate::{
    BatchNumber, HostId, KeyId, OrderId, RequestId, Revision, TargetId, TeamId, Term, TrainerId,
    Version, WindowId, ZoneId,
};
use derive_more::Display;

crate::derive_schema! {
    /// Timestamp of an event on a hybrid logical clock, and the host that recorded it.
    #[derive(Eq, PartialOrd, Ord, Display)]
    #[display("{wall_ms}.{counter}@{host}")]
    pub struct Stamp {
        /// Milliseconds since the Unix epoch.
        pub wall_ms: u64,
        /// Orders events within one millisecond.
        pub counter: u32,
        /// The host that recorded the event.
        pub host: HostId,
    }
}

crate::derive_schema! {
    /// An event of the timeline.
    #[derive(Eq, Display)]
    #[display("{stamp} {kind}")]
    pub struct Event {
        /// Time and host of the event.
        pub stamp: Stamp,
        /// Kind and details of the event.
        pub kind: Kind,
    }
}

crate::derive_schema! {
    /// Kind and details of an event; never contains a caller's credentials.
    #[derive(Eq, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A node became leader of the control log.
        #[display("control: became leader of term {term}")]
        Leader {
            /// The term that the node leads.
            term: Term,
        },
        /// A configuration change was committed.
        #[display("control: revision {revision} is in force")]
        Committed {
            /// The revision created by the change.
            revision: Revision,
        },
        /// An API key was withdrawn.
        #[display("control: key {key} of team {team} is withdrawn")]
        KeyWithdrawn {
            /// The key's public part.
            key: KeyId,
            /// The team that owned the key.
            team: TeamId,
        },
        /// A request was sent to a target.
        #[display("entry: sent request {request} of team {team} to target {target}")]
        Sent {
            /// The request.
            request: RequestId,
            /// The team that sent the request.
            team: TeamId,
            /// The target that received the request.
            target: TargetId,
        },
        /// A request was answered completely.
        #[display("entry: answered request {request} of team {team} with status {status}")]
        Answered {
            /// The request.
            request: RequestId,
            /// The team that sent the request.
            team: TeamId,
            /// The HTTP status code of the response.
            status: u16,
        },
        /// A request was refused.
        #[display("entry: refused request {request}: {code}")]
        Refused {
            /// The request.
            request: RequestId,
            /// The error code of the refusal.
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
            /// The fencing token of the order.
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
        /// A trainer published a new version of a model's weights.
        #[display("rollout: trainer {trainer} published version {version}")]
        VersionPublished {
            /// The trainer.
            trainer: TrainerId,
            /// The published version.
            version: Version,
        },
        /// The usage of a window was reported.
        #[display("usage: reported window {window}")]
        WindowReported {
            /// The window.
            window: WindowId,
        },
        /// A zone was evacuated.
        #[display("control: evacuated zone {zone}")]
        Evacuated {
            /// The zone.
            zone: ZoneId,
        },
        /// The evacuation of a zone ended.
        #[display("control: restored zone {zone}")]
        Restored {
            /// The zone.
            zone: ZoneId,
        },
    }
}

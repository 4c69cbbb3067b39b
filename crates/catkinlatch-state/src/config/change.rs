//! A change of the configuration, applied whole or not at all.

use super::{Fault, Key, Model, PriceClass, Route, Team, Trainer, Zone};
use catkinlatch_base::{
    KeyId, ModelId, PriceClassId, RequestId, Revision, RouteId, TeamId, TrainerId, ZoneId,
    derive_schema,
};

derive_schema! {
    /// One change by an operator.
    pub struct Change {
        /// Identifies the change, so that a resend is recognised.
        pub request: RequestId,
        /// The configuration revision that the change was made against, if it matters.
        pub base: Option<Revision>,
        /// What to change, in order.
        pub edits: Vec<Edit>,
    }
}

derive_schema! {
    /// One step of a change.
    #[serde(rename_all = "snake_case")]
    pub enum Edit {
        /// Creates or replaces a team.
        PutTeam(Team),
        /// Removes a team and withdraws its keys.
        DropTeam(TeamId),
        /// Creates or replaces a route.
        PutRoute(Route),
        /// Removes a route.
        DropRoute(RouteId),
        /// Creates or replaces a model.
        PutModel(Model),
        /// Removes a model.
        DropModel(ModelId),
        /// Creates or replaces a trainer.
        PutTrainer(Trainer),
        /// Removes a trainer.
        DropTrainer(TrainerId),
        /// Creates or replaces an availability zone.
        PutZone(Zone),
        /// Removes an availability zone.
        DropZone(ZoneId),
        /// Creates or replaces a price class.
        PutPriceClass(PriceClass),
        /// Removes a price class.
        DropPriceClass(PriceClassId),
        /// Puts a key in force.
        PutKey(Key),
        /// Withdraws a key.
        WithdrawKey(KeyId),
    }
}

derive_schema! {
    /// What became of a change.
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// The change is committed and never reverts.
        Accepted {
            /// The revision that it made.
            revision: Revision,
        },
        /// Another change came first; nothing was changed.
        Conflict {
            /// The change that made the present revision.
            winner: Option<RequestId>,
            /// The present revision.
            revision: Revision,
        },
        /// The configuration would have faults; nothing was changed.
        Invalid {
            /// The faults, at most 64 of them.
            faults: Vec<Fault>,
        },
        /// The request id was used before with other content; nothing was changed.
        RequestReused {
            /// The request id.
            request: RequestId,
        },
    }
}

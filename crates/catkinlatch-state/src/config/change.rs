//! Changes to the configuration and their results.

use super::{Fault, Key, Model, PriceClass, Route, Team, Trainer, Zone};
use catkinlatch_base::{
    KeyId, ModelId, PriceClassId, RequestId, Revision, RouteId, TeamId, TrainerId, ZoneId,
    derive_schema,
};

derive_schema! {
    /// A change by an operator, applied as a whole or not at all.
    pub struct Change {
        /// Identifies the change; a resend with the same id is not applied again.
        pub request: RequestId,
        /// Configuration revision that the change is based on; the change conflicts if another one
        /// is current. Absent to apply the change to any revision.
        pub base: Option<Revision>,
        /// Edits, applied in order.
        pub edits: Vec<Edit>,
    }
}

derive_schema! {
    /// A single edit of a change.
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
        /// Creates a key.
        PutKey(Key),
        /// Withdraws a key.
        WithdrawKey(KeyId),
    }
}

derive_schema! {
    /// The result of a change.
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// The change is committed and is never rolled back.
        Accepted {
            /// Revision that the change created.
            revision: Revision,
        },
        /// The change is based on another revision than the current one; nothing was changed.
        Conflict {
            /// Change that created the current revision; absent if there is none.
            winner: Option<RequestId>,
            /// The current revision.
            revision: Revision,
        },
        /// The resulting configuration would be invalid; nothing was changed.
        Invalid {
            /// Faults of the resulting configuration, at most 64.
            faults: Vec<Fault>,
        },
        /// The request id was already used for a change with other content; nothing was changed.
        RequestReused {
            /// Request id that was reused.
            request: RequestId,
        },
    }
}

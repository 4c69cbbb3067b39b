//! Faults of a configuration.

use catkinlatch_base::derive_schema;
use derive_more::Display;

derive_schema! {
    /// Identifies a part of the configuration by its kind and id.
    #[derive(Eq, PartialOrd, Ord, Display)]
    #[display("{kind} {id}")]
    pub struct Subject {
        /// Kind of the part.
        pub kind: Part,
        /// Id of the part, unique among parts of its kind.
        pub id: String,
    }
}

derive_schema! {
    /// A kind of part of the configuration.
    #[derive(Copy, Eq, PartialOrd, Ord, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Part {
        /// A team.
        #[display("team")]
        Team,
        /// A key.
        #[display("key")]
        Key,
        /// A route.
        #[display("route")]
        Route,
        /// A model.
        #[display("model")]
        Model,
        /// A trainer.
        #[display("trainer")]
        Trainer,
        /// An availability zone.
        #[display("zone")]
        Zone,
        /// A price class.
        #[display("price_class")]
        PriceClass,
    }
}

derive_schema! {
    /// A fault of the configuration that would result from a change.
    #[derive(Eq, Display)]
    #[display("{subject}: {text}; {hint}")]
    pub struct Fault {
        /// Part that is invalid.
        pub subject: Subject,
        /// Field that is invalid.
        pub field: String,
        /// Description of the fault, in lower case.
        pub text: String,
        /// Suggested correction.
        pub hint: String,
    }
}

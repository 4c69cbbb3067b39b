//! What is wrong with a configuration.

use catkinlatch_base::derive_schema;
use derive_more::Display;

derive_schema! {
    /// A part of the configuration, by its kind and name.
    #[derive(Eq, PartialOrd, Ord, Display)]
    #[display("{kind} {id}")]
    pub struct Subject {
        /// The kind of part.
        pub kind: Part,
        /// Its name.
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
    /// One thing that is wrong with the configuration that a change would make.
    #[derive(Eq, Display)]
    #[display("{subject}: {text}; {hint}")]
    pub struct Fault {
        /// The part at fault.
        pub subject: Subject,
        /// The field at fault.
        pub field: String,
        /// What is wrong, in lower case.
        pub text: String,
        /// What to do about it.
        pub hint: String,
    }
}

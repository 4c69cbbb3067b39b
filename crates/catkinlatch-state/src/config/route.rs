//! Routes: which model or plain service a request goes to, and under which rules.

use catkinlatch_base::{ModelId, RouteId, derive_schema};
use derive_more::Display;

derive_schema! {
    /// A route.
    pub struct Route {
        /// The name: the model that a caller asks for, or the service in its path.
        pub id: RouteId,
        /// What serves the route.
        pub kind: Kind,
        /// Whether requests without a key are served.
        pub open: bool,
        /// Whether a request may be repeated without harm.
        pub idempotent: bool,
        /// The longest request body, in bytes.
        pub max_request_bytes: u64,
        /// The longest answer, in bytes.
        pub max_answer_bytes: u64,
        /// How long a request may take in all, in milliseconds.
        pub deadline_ms: u64,
    }
}

derive_schema! {
    /// What serves a route.
    #[derive(Eq, PartialOrd, Ord, Hash, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Engines of a model.
        #[display("model {_0}")]
        Model(ModelId),
        /// Plain services that announce themselves under the route's name.
        #[display("service")]
        Service,
    }
}

impl Route {
    /// Creates a closed route that may not be repeated.
    pub fn new(id: RouteId, kind: Kind) -> Self {
        Self {
            id,
            kind,
            open: false,
            idempotent: false,
            max_request_bytes: 4 << 20,
            max_answer_bytes: 64 << 20,
            deadline_ms: 60_000,
        }
    }

    /// Sets whether a request may be repeated without harm.
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent, ..self }
    }

    /// Sets whether requests without a key are served.
    pub fn with_open(self, open: bool) -> Self {
        Self { open, ..self }
    }

    /// Sets how long a request may take in all, in milliseconds.
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }
}

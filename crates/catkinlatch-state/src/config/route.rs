//! Routes, which map requests to a model or plain service and set their limits.

use catkinlatch_base::{ModelId, RouteId, derive_schema};
use derive_more::Display;

derive_schema! {
    /// A route with its limits.
    pub struct Route {
        /// Name of the model that the caller requests, or of the service in the request path.
        pub id: RouteId,
        /// Kind of targets that serve the route.
        pub kind: Kind,
        /// Whether requests without an API key are accepted.
        pub open: bool,
        /// Whether requests are idempotent and may be retried.
        pub idempotent: bool,
        /// Maximum size of a request body, in bytes.
        pub max_request_bytes: u64,
        /// Maximum size of an answer, in bytes.
        pub max_answer_bytes: u64,
        /// Maximum total duration of a request, in milliseconds.
        pub deadline_ms: u64,
    }
}

derive_schema! {
    /// The kind of targets that serve a route.
    #[derive(Eq, PartialOrd, Ord, Hash, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// Engines of a model.
        #[display("model {_0}")]
        Model(ModelId),
        /// Plain services that announce themselves under the name of the route.
        #[display("service")]
        Service,
    }
}

impl Route {
    /// Creates a route that requires a key and whose requests are not idempotent.
    ///
    /// The limits are 4 MiB per request, 64 MiB per answer and a deadline of 60 seconds.
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

    /// Sets whether requests are idempotent and may be retried.
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent, ..self }
    }

    /// Sets whether requests without an API key are accepted.
    pub fn with_open(self, open: bool) -> Self {
        Self { open, ..self }
    }

    /// Sets the maximum total duration of a request, in milliseconds.
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }
}

//! The error response of the API for callers.

use super::request::REQUEST_ID;
use catkinlatch_base::{RequestId, derive_key, derive_schema};
use derive_more::Display;
use dropshot::Body;
use http::{Response, StatusCode, header};

derive_key! {
    /// Reason why a request was refused or failed.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Code {
        /// The API key is missing, malformed or not in force.
        #[display("unauthorized")]
        Unauthorized,
        /// No route has the requested name.
        #[display("no_route")]
        NoRoute,
        /// The request is malformed.
        #[display("bad_request")]
        BadRequest,
        /// The body is longer than the route allows.
        #[display("too_long")]
        TooLong,
        /// No target serves the route at present.
        #[display("no_target")]
        NoTarget,
        /// A limit of the team is reached.
        #[display("limited")]
        Limited,
        /// The queue is full or the deadline cannot be met.
        #[display("overloaded")]
        Overloaded,
        /// The target failed.
        #[display("target_failed")]
        TargetFailed,
        /// The deadline passed.
        #[display("deadline")]
        Deadline,
        /// The node has no current configuration or is draining.
        #[display("unavailable")]
        Unavailable,
        /// The idempotency key was used with another request.
        #[display("key_reused")]
        KeyReused,
        /// It is unknown, and will stay unknown, whether the request ran.
        #[display("outcome_unknown")]
        OutcomeUnknown,
        /// The request crashed targets and is not run again.
        #[display("suspect")]
        Suspect,
    }
}

impl Code {
    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoTarget | Self::Overloaded | Self::Unavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Limited => StatusCode::TOO_MANY_REQUESTS,
            Self::TargetFailed => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyReused | Self::Suspect => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OutcomeUnknown => StatusCode::CONFLICT,
        }
    }
}

derive_key! {
    /// Whether a refused or failed request ran.
    #[derive(Copy, Display)]
    #[serde(rename_all = "snake_case")]
    pub enum Ran {
        /// It did not run: no byte of it was sent to a target.
        No,
        /// It may have run.
        Maybe,
        /// It ran.
        Yes,
    }
}

derive_schema! {
    /// The body of an error response.
    pub struct Refusal {
        /// The reason as a code.
        pub code: Code,
        /// The reason as text, with what to do about it.
        pub message: String,
        /// Whether the request ran.
        pub ran: Ran,
        /// The time after which to retry, in milliseconds; absent if none is suggested.
        pub retry_after_ms: Option<u64>,
        /// The id of the request.
        pub request_id: RequestId,
    }
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(request_id: RequestId, code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), ran: Ran::No, retry_after_ms: None, request_id }
    }

    /// Sets whether the request ran.
    pub fn with_ran(self, ran: Ran) -> Self {
        Self { ran, ..self }
    }

    /// Sets the time after which to retry, in milliseconds.
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// Converts the refusal into an HTTP response, with `Retry-After` in whole seconds.
    pub fn into_response(self) -> Response<Body> {
        let body = serde_json::to_vec(&self).expect("a refusal serializes");
        let mut response = Response::builder()
            .status(self.code.status())
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, self.request_id.as_str());
        if let Some(millis) = self.retry_after_ms {
            response = response.header(header::RETRY_AFTER, millis.div_ceil(1000).to_string());
        }
        response.body(Body::from(body)).expect("the parts are valid")
    }
}

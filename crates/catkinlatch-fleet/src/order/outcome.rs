//! The receiver's answers to orders and to inquiries about them.

use catkinlatch_base::{TargetId, derive_value};

derive_value! {
    /// The outcome of sending an order.
    pub enum Outcome {
        /// The receiver confirmed the order.
        Done {
            /// The target that the platform named, if any.
            target: Option<TargetId>,
        },
        /// The receiver refused the order.
        Refused,
        /// The platform currently has no capacity of this kind.
        Unavailable,
        /// No byte of the order left this process.
        NotSent,
        /// No answer came within the deadline; the receiver may have accepted the order.
        NoAnswer,
    }
}

derive_value! {
    /// The answer to an inquiry about an order that the receiver may have accepted.
    pub enum InquiryOutcome {
        /// The receiver accepted the order.
        Taken {
            /// The target that the platform named, if any.
            target: Option<TargetId>,
        },
        /// The receiver has no record of the order.
        Absent,
        /// The receiver refused the order.
        Refused,
        /// The platform had no capacity of this kind.
        Unavailable,
        /// The receiver supports no inquiries, but accepting the same order id again has no further
        /// effect, so the order can be sent again.
        Idempotent,
        /// The receiver did not answer.
        NoAnswer,
    }
}

//! What a receiver answers to an order, or to the question what became of one.

use catkinlatch_base::{TargetId, derive_value};

derive_value! {
    /// What became of sending an order.
    pub enum Outcome {
        /// The receiver confirmed it.
        Done {
            /// The target that the platform named.
            target: Option<TargetId>,
        },
        /// The receiver refused it.
        Refused,
        /// The platform has nothing of this kind to give at present.
        Unavailable,
        /// No byte of it left this process.
        NotSent,
        /// It may have been taken; no answer came within the deadline.
        NoAnswer,
    }
}

derive_value! {
    /// What a receiver says about an order that it may have taken.
    pub enum Finding {
        /// It took the order.
        Taken {
            /// The target that the platform named.
            target: Option<TargetId>,
        },
        /// It knows no such order.
        Absent,
        /// It refused the order.
        Refused,
        /// It had nothing of this kind to give.
        Unavailable,
        /// It cannot be asked; taking the same order id again has no further effect.
        Idempotent,
        /// It did not answer.
        NoAnswer,
    }
}

//! Invariants that are checked at run time.
//!
//! A violation panics in builds with debug assertions. Other builds count it in the metric
//! `catkinlatch_invariant_violations` and log it, and [`invariant!`](crate::invariant!) returns
//! `false` so that the caller can give up the affected role.

use log::error;
use metrics::counter;
use std::fmt;

/// Counts and logs a violation of the invariant `name`.
///
/// # Panics
///
/// Panics in builds with debug assertions.
pub fn report_violation(name: &'static str, details: fmt::Arguments<'_>) {
    counter!("catkinlatch_invariant_violations", "invariant" => name).increment(1);
    error!("invariant: {name} is violated: {details}");
    if cfg!(debug_assertions) {
        panic!("invariant {name} is violated: {details}");
    }
}

/// Checks an invariant, reports a violation under `$name`, and returns whether the invariant holds.
#[macro_export]
macro_rules! invariant {
    ($name:literal, $condition:expr, $($details:tt)+) => {{
        let holds: bool = $condition;
        if !holds {
            $crate::invariant::report_violation($name, format_args!($($details)+));
        }
        holds
    }};
}

//! Invariants that the program asserts about itself while it runs.
//!
//! A violation aborts a test or debug run. A release run counts it in the metric
//! `catkinlatch_invariant_violations`, logs it, and returns `false` so that the caller can give up
//! the role concerned.

use log::error;
use metrics::counter;
use std::fmt;

/// Records a violation of the invariant `name`.
///
/// # Panics
///
/// Panics in builds with debug assertions.
pub fn violate(name: &'static str, details: fmt::Arguments<'_>) {
    counter!("catkinlatch_invariant_violations", "invariant" => name).increment(1);
    error!("invariant: {name} is violated: {details}");
    if cfg!(debug_assertions) {
        panic!("invariant {name} is violated: {details}");
    }
}

/// Checks an invariant by name and returns whether it holds.
#[macro_export]
macro_rules! invariant {
    ($name:literal, $condition:expr, $($details:tt)+) => {{
        let holds: bool = $condition;
        if !holds {
            $crate::invariant::violate($name, format_args!($($details)+));
        }
        holds
    }};
}

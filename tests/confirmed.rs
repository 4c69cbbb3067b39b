//! Tests on real processes that an acknowledged configuration is in force in time and never goes
//! back, and that retries stay bounded, checked from outside alone.
//!
//! Sessions between entry hosts and store hosts pass through relays, which can let them fall silent
//! without a reset. `CONFIRMED_SEEDS=FIRST-LAST` runs the random test with other seeds, and
//! `CONFIRMED_SECONDS` says how long with each; `CONFIRMED_PROGRAM` runs another build of the
//! program (`CONFIRMED_OLD=1` for one that knows no `contact_ms` or accepts a split without weight), and `CONFIRMED_LOGS` names a folder for the logs of failed runs.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

#[path = "confirmed/attempt.rs"]
mod attempt;
#[path = "confirmed/caller.rs"]
mod caller;
#[path = "confirmed/directed.rs"]
mod directed;
#[path = "confirmed/document.rs"]
mod document;
#[path = "confirmed/fault.rs"]
mod fault;
#[path = "confirmed/observer.rs"]
mod observer;
#[path = "confirmed/operator.rs"]
mod operator;
#[path = "confirmed/random.rs"]
mod random;
#[path = "confirmed/record.rs"]
mod record;
#[path = "confirmed/setup.rs"]
mod setup;
#[path = "confirmed/stall.rs"]
mod stall;

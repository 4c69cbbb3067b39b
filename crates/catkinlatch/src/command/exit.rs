//! Failures of commands with their exit codes, and helpers for printing and running.

use catkinlatch_base::{Findings, random};
use derive_more::{Display, From};
use std::process::ExitCode;

/// The result of a command.
pub type Outcome = Result<ExitCode, Failure>;

/// The exit code after a second signal aborted a graceful shutdown.
pub const FORCED_EXIT_CODE: i32 = 130;

/// The reason why a command failed, with the text that is printed.
#[derive(Debug, Display, From)]
pub enum Failure {
    /// A settings file or a sheet has faults; exit code 1.
    #[display("{_0}")]
    Findings(Findings),
    /// Any other failure; exit code 1.
    #[from(ignore)]
    #[display("{_0}")]
    Failed(String),
    /// A file or a node cannot be used; exit code 2.
    #[from(ignore)]
    #[display("{_0}")]
    Unusable(String),
    /// The cluster refused the change; exit code 3.
    #[from(ignore)]
    #[display("{_0}")]
    Refused(String),
    /// The change is destructive and was not confirmed; exit code 4.
    #[from(ignore)]
    #[display("{_0}")]
    Unconfirmed(String),
    /// The change may or may not have been made; exit code 5.
    #[from(ignore)]
    #[display("{_0}")]
    Unknown(String),
}

impl Failure {
    /// Returns the exit code of the failure.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Findings(_) | Self::Failed(_) => ExitCode::from(1),
            Self::Unusable(_) => ExitCode::from(2),
            Self::Refused(_) => ExitCode::from(3),
            Self::Unconfirmed(_) => ExitCode::from(4),
            Self::Unknown(_) => ExitCode::from(5),
        }
    }
}

/// Prints a line to standard output.
#[expect(clippy::print_stdout, reason = "the command prints its result")]
pub fn print(text: impl std::fmt::Display) {
    println!("{text}");
}

/// Prints a value to standard output as indented JSON.
pub fn print_json(value: &impl serde::Serialize) {
    print(serde_json::to_string_pretty(value).expect("the result serializes"));
}

/// Runs a future to completion on a new multi-threaded runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    random::seed_thread();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.enable_all().on_thread_start(random::seed_thread).build();
    runtime.expect("the runtime starts").block_on(future)
}

//! Why a command failed, and the exit code that says so.

use catkinlatch_base::Findings;
use derive_more::{Display, From};
use std::process::ExitCode;

/// What a command returns.
pub type Outcome = Result<ExitCode, Failure>;

/// The exit code of a process that a second signal ended.
pub const SIGNAL_CODE: i32 = 130;

/// Why a command failed.
#[derive(Debug, Display, From)]
pub enum Failure {
    /// An input has faults.
    #[display("{_0}")]
    Findings(Findings),
    /// The command failed.
    #[from(ignore)]
    #[display("{_0}")]
    Failed(String),
    /// A file or a node could not be used.
    #[from(ignore)]
    #[display("{_0}")]
    Unusable(String),
    /// The cluster refused the change.
    #[from(ignore)]
    #[display("{_0}")]
    Refused(String),
    /// The change may hurt and was not confirmed.
    #[from(ignore)]
    #[display("{_0}")]
    Unconfirmed(String),
    /// Nobody knows yet whether the change was made.
    #[from(ignore)]
    #[display("{_0}")]
    Unknown(String),
}

impl Failure {
    /// Returns the exit code.
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

/// Prints a line of the command's result.
#[expect(clippy::print_stdout, reason = "the command prints its result")]
pub fn print(text: impl std::fmt::Display) {
    println!("{text}");
}

/// Prints a result as JSON.
pub fn print_json(value: &impl serde::Serialize) {
    print(serde_json::to_string_pretty(value).expect("the result serializes"));
}

/// Runs a future on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Runtime::new().expect("the runtime starts").block_on(future)
}

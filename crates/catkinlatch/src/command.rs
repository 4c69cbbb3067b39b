//! The commands.

mod trial;

use argh::FromArgs;
use std::process::ExitCode;

/// A rollout service for reinforcement learning.
#[derive(FromArgs)]
pub struct Command {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Try(trial::Try),
}

impl Command {
    /// Runs the command and returns its exit code.
    pub fn run(self) -> ExitCode {
        match self.verb {
            Verb::Try(verb) => verb.run(),
        }
    }
}

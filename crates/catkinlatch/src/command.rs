//! The commands.
//!
//! Exit codes: 0 success, 1 failure or findings, 2 a node or file that cannot be used, 3 a
//! change that was refused, 4 a change that needs `--confirm`, 5 an outcome that is unknown,
//! 130 a shutdown cut short by a second signal.

mod check;
mod cluster;
mod drain;
mod exit;
mod host;
mod key;
mod operator;
mod plan;
mod serve;
mod settings;
mod status;
mod timeline;
mod trial;
mod usage;
mod version;

use argh::FromArgs;
use std::process::ExitCode;

/// A rollout service for reinforcement learning.
#[derive(FromArgs)]
#[argh(
    example = "Check two settings files, start a node, and see what it knows:\n    {command_name} check host-1.jsonc host-2.jsonc\n    {command_name} serve --settings host-1.jsonc\n    {command_name} status --settings host-1.jsonc",
    error_code(1, "the command failed, or found something wrong"),
    error_code(2, "a file or a node could not be used"),
    error_code(3, "the cluster refused the change"),
    error_code(4, "the change needs --confirm"),
    error_code(5, "the outcome of the change is unknown"),
    error_code(130, "a second signal cut the shutdown short")
)]
pub struct Command {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Check(check::Check),
    Cluster(cluster::Cluster),
    Drain(drain::Drain),
    Host(host::Host),
    Key(key::Key),
    Plan(plan::Plan),
    Serve(serve::Serve),
    Settings(settings::Settings),
    Status(status::Status),
    Timeline(timeline::Timeline),
    Try(trial::Try),
    Usage(usage::Usage),
    Version(version::Version),
}

impl Command {
    /// Returns whether the command keeps a log of its own.
    pub fn has_own_log(&self) -> bool {
        matches!(self.verb, Verb::Host(_))
    }

    /// Runs the command and returns its exit code.
    pub fn run(self) -> ExitCode {
        let result = match self.verb {
            Verb::Check(verb) => verb.run(),
            Verb::Cluster(verb) => verb.run(),
            Verb::Drain(verb) => verb.run(),
            Verb::Host(verb) => verb.run(),
            Verb::Key(verb) => verb.run(),
            Verb::Plan(verb) => verb.run(),
            Verb::Serve(verb) => verb.run(),
            Verb::Settings(verb) => verb.run(),
            Verb::Status(verb) => verb.run(),
            Verb::Timeline(verb) => verb.run(),
            Verb::Usage(verb) => verb.run(),
            Verb::Try(verb) => return verb.run(),
            Verb::Version(verb) => verb.run(),
        };
        result.unwrap_or_else(|failure| {
            eprintln!("{failure}");
            failure.code()
        })
    }
}

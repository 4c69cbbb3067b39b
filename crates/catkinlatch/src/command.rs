//! Command-line parsing and the subcommands.
//!
//! Exit codes:
//!
//! - 0: success
//! - 1: failure, or findings were reported
//! - 2: a node or a file cannot be used
//! - 3: the cluster refused the change
//! - 4: the change needs `--confirm`
//! - 5: the outcome of the change is unknown
//! - 130: a second signal aborted a graceful shutdown

mod check;
mod cluster;
mod drain;
mod evacuate;
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
    example = "Check two settings files, start a node, and show its status:\n    {command_name} check host-1.jsonc host-2.jsonc\n    {command_name} serve --settings host-1.jsonc\n    {command_name} status --settings host-1.jsonc",
    error_code(1, "the command failed or reported findings"),
    error_code(2, "a file or a node cannot be used"),
    error_code(3, "the cluster refused the change"),
    error_code(4, "the change needs --confirm"),
    error_code(5, "the outcome of the change is unknown"),
    error_code(130, "a second signal aborted the shutdown")
)]
pub struct Command {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Check(check::Check),
    Cluster(cluster::Cluster),
    Drain(drain::Drain),
    Evacuate(evacuate::Evacuate),
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
    /// Returns whether the subcommand sets up a logger itself.
    pub fn has_own_logger(&self) -> bool {
        matches!(self.subcommand, Subcommand::Host(_))
    }

    /// Runs the subcommand and returns its exit code; failures are printed to standard error.
    pub fn run(self) -> ExitCode {
        let result = match self.subcommand {
            Subcommand::Check(subcommand) => subcommand.run(),
            Subcommand::Cluster(subcommand) => subcommand.run(),
            Subcommand::Drain(subcommand) => subcommand.run(),
            Subcommand::Evacuate(subcommand) => subcommand.run(),
            Subcommand::Host(subcommand) => subcommand.run(),
            Subcommand::Key(subcommand) => subcommand.run(),
            Subcommand::Plan(subcommand) => subcommand.run(),
            Subcommand::Serve(subcommand) => subcommand.run(),
            Subcommand::Settings(subcommand) => subcommand.run(),
            Subcommand::Status(subcommand) => subcommand.run(),
            Subcommand::Timeline(subcommand) => subcommand.run(),
            Subcommand::Usage(subcommand) => subcommand.run(),
            Subcommand::Try(subcommand) => return subcommand.run(),
            Subcommand::Version(subcommand) => subcommand.run(),
        };
        result.unwrap_or_else(|failure| {
            eprintln!("{failure}");
            failure.code()
        })
    }
}

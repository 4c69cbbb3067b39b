//! `catkinlatch status`.

use super::{
    exit::{Outcome, block_on, print, print_json},
    operator::Client,
};
use argh::FromArgs;
use catkinlatch_node::status;
use std::{path::PathBuf, process::ExitCode};

/// Prints the status of the cluster as seen by one node.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --operator 127.0.0.1:7101 --json",
    error_code(2, "the node cannot be used")
)]
pub struct Status {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which gives its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    /// Prints the status.
    pub fn run(self) -> Outcome {
        let client = Client::new(self.operator, self.settings.as_deref())?;
        let status: status::Status = block_on(client.get("/v1/status"))?;
        if self.json {
            print_json(&status);
        } else {
            print(status);
        }
        Ok(ExitCode::SUCCESS)
    }
}

//! `catkinlatch drain`.

use super::{
    exit::{Outcome, block_on, print, print_json},
    operator::Client,
};
use argh::FromArgs;
use catkinlatch_node::health::Draining;
use std::{path::PathBuf, process::ExitCode};

/// Drains a node: it is removed from the entry list, finishes its work and exits with code 0.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} --settings host-1.jsonc",
    error_code(2, "the node cannot be used")
)]
pub struct Drain {
    /// the operator address of the node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of the node, which gives its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints JSON
    #[argh(switch)]
    json: bool,
}

impl Drain {
    /// Starts draining the node, without waiting for the end.
    pub fn run(self) -> Outcome {
        let client = Client::new(self.operator, self.settings.as_deref())?;
        let draining: Draining = block_on(client.post("/v1/drain", &()))?;
        if self.json {
            print_json(&draining);
        } else {
            let time = draining.address_time_to_live_ms;
            print(format!("draining; callers may still use its address for {time} ms"));
        }
        Ok(ExitCode::SUCCESS)
    }
}

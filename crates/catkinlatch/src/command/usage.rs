//! `catkinlatch usage`.

use super::{
    exit::{Outcome, block_on, print_json},
    operator::Client,
};
use argh::FromArgs;
use catkinlatch_base::WindowId;
use serde_json::Value;
use std::{path::PathBuf, process::ExitCode};

/// Prints the usage figures of a window with the contributions and corrections behind them, as
/// JSON.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "usage",
    example = "{command_name} --settings host-1.jsonc --window 29418203",
    error_code(2, "the node cannot be used, or the window is not closed")
)]
pub struct Usage {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which gives its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// the window: the Unix time of its start divided by its length
    #[argh(option)]
    window: WindowId,
}

impl Usage {
    /// Prints the window.
    pub fn run(self) -> Outcome {
        let client = Client::new(self.operator, self.settings.as_deref())?;
        let path = format!("/v1/usage/windows/{}", self.window);
        let window: Value = block_on(client.get(&path))?;
        print_json(&window);
        Ok(ExitCode::SUCCESS)
    }
}

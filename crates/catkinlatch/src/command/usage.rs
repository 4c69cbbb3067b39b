//! `catkinlatch usage`.

use super::{
    exit::{Outcome, block_on, print_json},
    operator::Operator,
};
use argh::FromArgs;
use catkinlatch_base::WindowId;
use serde_json::Value;
use std::{path::PathBuf, process::ExitCode};

/// Prints a usage window's figures and how they came about, as JSON.
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
    /// the settings file of a node, which names its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// the window: the Unix time of its begin divided by its length
    #[argh(option)]
    window: WindowId,
}

impl Usage {
    /// Prints the window.
    pub fn run(self) -> Outcome {
        let operator = Operator::new(self.operator, self.settings.as_deref())?;
        let path = format!("/v1/usage/windows/{}", self.window);
        let window: Value = block_on(operator.get(&path))?;
        print_json(&window);
        Ok(ExitCode::SUCCESS)
    }
}

//! `catkinlatch version`.

use super::exit::{Outcome, print};
use argh::FromArgs;
use std::process::ExitCode;

/// Prints the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

impl Version {
    /// Prints the version.
    pub fn run(self) -> Outcome {
        print(concat!("catkinlatch ", env!("CARGO_PKG_VERSION")));
        Ok(ExitCode::SUCCESS)
    }
}

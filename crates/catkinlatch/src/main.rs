//! The catkinlatch command-line program.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command: command::Command = argh::from_env();
    if !command.has_own_logger() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    }
    command.run()
}

//! The command line of catkinlatch.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    argh::from_env::<command::Command>().run()
}

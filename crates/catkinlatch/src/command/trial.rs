//! `catkinlatch try`.

use argh::FromArgs;
use catkinlatch_standin::trial;
use std::process::ExitCode;

/// Runs one node with simulated engines and services in this process and checks each kind of work
/// once.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct Try {}

impl Try {
    /// Runs the checks and prints them; the exit code is 0 if all pass, else 1.
    #[expect(clippy::print_stdout, reason = "the command prints its result")]
    pub fn run(self) -> ExitCode {
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        match runtime.block_on(trial::run()) {
            Ok(checks) => {
                print!("{checks}");
                if checks.all_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
            }
            Err(error) => {
                eprintln!("try: {error}");
                ExitCode::FAILURE
            }
        }
    }
}

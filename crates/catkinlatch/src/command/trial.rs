//! `catkinlatch try`.

use argh::FromArgs;
use catkinlatch_standin::trial;
use std::process::ExitCode;

/// Runs one node with stand-ins in this process and checks every kind of work once.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct Try {}

impl Try {
    /// Runs the trial; exits 0 only if every check held.
    #[expect(clippy::print_stdout, reason = "the command prints its result")]
    pub fn run(self) -> ExitCode {
        let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
        match runtime.block_on(trial::run()) {
            Ok(checks) => {
                print!("{checks}");
                if checks.all_held() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
            }
            Err(error) => {
                eprintln!("try: {error}");
                ExitCode::FAILURE
            }
        }
    }
}

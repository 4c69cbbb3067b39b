//! Runs six processes of the real program under random failures.

use argh::FromArgs;
use catkinlatch_standin::cluster::Soak;
use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

/// Runs six processes under random failures and compares all records at the end.
#[derive(FromArgs)]
struct Arguments {
    /// the program, such as target/debug/catkinlatch
    #[argh(option)]
    program: PathBuf,
    /// how long failures go on, in seconds (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// chooses the failures (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// an empty folder for settings, logs and data, kept afterwards
    #[argh(option)]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    std::fs::create_dir_all(&arguments.folder)?;
    let soak = Soak {
        program: arguments.program,
        folder: arguments.folder,
        length: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
    };
    let mut out = io::stdout();
    match soak.run().await {
        Ok(report) => {
            write!(out, "{report}")?;
            Ok(if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Err(error) => {
            writeln!(out, "soak: {error}")?;
            Ok(ExitCode::FAILURE)
        }
    }
}

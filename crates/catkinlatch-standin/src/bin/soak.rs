//! Runs processes of the real program under random failures.

use argh::FromArgs;
use catkinlatch_standin::{cluster, site};
use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

/// Runs six processes, or a deployment of five on the users' platform, under random failures and
/// compares all records at the end.
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
    /// run a deployment on the users' platform
    #[argh(switch)]
    site: bool,
}

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    std::fs::create_dir_all(&arguments.folder)?;
    let length = Duration::from_secs(arguments.seconds);
    let Arguments { program, folder, seed, site, .. } = arguments;
    let ran = if site {
        let ran = site::Soak { program, folder, length, seed }.run().await;
        let ran = ran.map_err(|error| error.to_string());
        ran.map(|report| (report.to_string(), report.violations.len()))
    } else {
        let ran = cluster::Soak { program, folder, length, seed }.run().await;
        ran.map(|report| (report.to_string(), report.violations.len()))
    };
    let mut out = io::stdout();
    match ran {
        Ok((report, violations)) => {
            write!(out, "{report}")?;
            Ok(if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Err(error) => {
            writeln!(out, "soak: {error}")?;
            Ok(ExitCode::FAILURE)
        }
    }
}

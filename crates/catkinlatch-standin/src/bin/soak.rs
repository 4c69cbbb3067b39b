//! Runs a cluster of `catkinlatch` processes under random failures.

use argh::FromArgs;
use catkinlatch_standin::{cluster, site};
use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

/// Runs six processes, or a deployment of five on the users' platform, under random failures, and
/// checks that all records agree at the end.
#[derive(FromArgs)]
struct Arguments {
    /// path of the program, such as target/debug/catkinlatch
    #[argh(option)]
    program: PathBuf,
    /// how long failures are injected, in seconds (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed that determines the failures (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// an empty folder for settings, logs and data; not deleted afterwards
    #[argh(option)]
    folder: PathBuf,
    /// run the deployment on the users' platform instead of the six processes
    #[argh(switch)]
    site: bool,
    /// also cut off hosts from targets, with `--site` and the program `cut_host`
    #[argh(switch)]
    cuts: bool,
}

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    env_logger::init();
    let arguments: Arguments = argh::from_env();
    std::fs::create_dir_all(&arguments.folder)?;
    let duration = Duration::from_secs(arguments.seconds);
    let Arguments { program, folder, seed, site, cuts: has_cuts, .. } = arguments;
    let result = if site {
        let outcome = site::Soak { program, folder, duration, seed, has_cuts }.run().await;
        let outcome = outcome.map_err(|error| error.to_string());
        outcome.map(|report| (report.to_string(), report.violations.len()))
    } else {
        let outcome = cluster::Soak { program, folder, duration, seed }.run().await;
        outcome.map(|report| (report.to_string(), report.violations.len()))
    };
    let mut out = io::stdout();
    match result {
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

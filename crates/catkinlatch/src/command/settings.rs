//! `catkinlatch settings`.

use super::exit::{Failure, Outcome, print};
use argh::FromArgs;
use catkinlatch_base::random;
use catkinlatch_node::settings;
use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Generates settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct Settings {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Example(Example),
}

/// Writes complete, commented settings for a cluster on loopback, one file per host.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "example",
    example = "{command_name} --hosts 6 --zones 3 --disks 3 --base-port 7100 --dir cluster",
    error_code(1, "the size or the folder cannot be used; no file was overwritten")
)]
struct Example {
    /// number of hosts
    #[argh(option, default = "6")]
    hosts: u16,
    /// number of zones that the hosts are spread over
    #[argh(option, default = "3")]
    zones: u16,
    /// number of hosts that have a disk
    #[argh(option, default = "3")]
    disks: u16,
    /// the first port; each host uses three
    #[argh(option, default = "7100")]
    base_port: u16,
    /// the folder to write to; created if it is missing
    #[argh(option)]
    dir: PathBuf,
}

impl Settings {
    /// Runs the subcommand.
    pub fn run(self) -> Outcome {
        match self.subcommand {
            Subcommand::Example(subcommand) => subcommand.run(),
        }
    }
}

impl Example {
    fn run(self) -> Outcome {
        let example = settings::Example::new(self.hosts, self.zones, self.disks, self.base_port);
        let example = example.map_err(|error| Failure::Failed(format!("settings: {error}")))?;
        let secret = format!("{:032x}", random::draw());
        let cannot = |path: &Path, error: io::Error| {
            Failure::Failed(format!("settings: cannot write {}: {error}", path.display()))
        };
        fs::create_dir_all(&self.dir).map_err(|error| cannot(&self.dir, error))?;
        for file in example.files(&secret) {
            let path = self.dir.join(file.name);
            let created = fs::File::options().write(true).create_new(true).open(&path);
            let written = created.and_then(|mut open| open.write_all(file.text.as_bytes()));
            written.map_err(|error| cannot(&path, error))?;
            print(path.display());
        }
        Ok(ExitCode::SUCCESS)
    }
}

//! One host of a site.

use super::{Ports, Shape};
use crate::{
    cluster::Process,
    cut::{self, Cut},
};
use serde_json::{Value, json};
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// Memory of a host that callers connect to, in megabytes; the smallest of the deployments.
const ENTRY_MEMORY_MB: u64 = 120;

/// Memory of a host with a disk, in megabytes.
const STORE_MEMORY_MB: u64 = 280;

/// What all hosts of a site share.
pub struct Layout<'a> {
    /// The ports that every host uses.
    pub ports: Ports,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The directory of settings, logs and data.
    pub folder: &'a Path,
    /// The path of the program.
    pub program: &'a Path,
}

/// One host of a site, which has its own loopback address.
#[derive(Debug)]
pub struct Host {
    /// The name of the host, such as `store-0` or `entry-3`.
    pub name: String,
    ip: Ipv4Addr,
    process: Process,
    settings: PathBuf,
    data_folder: Option<PathBuf>,
}

impl Host {
    /// Writes the settings of the host with this number; the first hosts have a disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be written.
    pub fn new(layout: &Layout<'_>, number: usize, shape: &Shape<'_>) -> io::Result<Self> {
        let stores = shape.stores;
        let ip = |number: usize| Ipv4Addr::new(127, 0, 0, 11 + number as u8);
        let at = |port: u16| SocketAddr::from((ip(number), port));
        let is_store = number < stores;
        let name = format!("{}-{number}", if is_store { "store" } else { "entry" });
        let data_folder = is_store.then(|| layout.folder.join(&name));
        let Ports { callers, ready, control, directory, peers } = layout.ports;
        let seeds: Vec<_> = (0..stores).map(|seed| SocketAddr::from((ip(seed), control))).collect();
        let mut settings = json!({
            "name": name,
            "host": ip(number).to_string(),
            "zone": format!("zone-{}", number % 3),
            "region": "region",
            "peer_port": peers,
            "seeds": seeds,
            "is_first_start": true,
            "losses": 1,
            "platform_address": layout.platform,
            "resources": {"memory_mb": if is_store { STORE_MEMORY_MB } else { ENTRY_MEMORY_MB }},
            "divides_slots": true, "shares_observations": true,
            "times": {
                "heartbeat_ms": 300, "drain_ms": 2000, "grace_s": 3, "lease_ms": 1000, "checks_fences": true,
                "report_window_s": 1, "report_due_s": 5, "results_kept_s": 120,
                "cancel_ms": 3000, "apply_ms": 2000, "address_ttl_s": 5,
                "contact_ms": 4000, "ack_ms": 5000, "evacuate_ms": 5000
            }
        });
        if let Some(folder) = &data_folder {
            settings["data_folder"] = json!(folder);
            settings["control_address"] = json!(at(control));
        } else {
            settings["callers_address"] = json!(at(callers));
            settings["ready_address"] = json!(at(ready));
            settings["directory_address"] = json!(at(directory));
        }
        (shape.adjust)(number, &mut settings);
        let path = layout.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        let process = Process::new(layout.program.into(), path.clone()).with_subcommand("host");
        Ok(Self { name, ip: ip(number), process, settings: path, data_folder })
    }

    /// Returns the host's address with a port.
    pub fn address(&self, port: u16) -> String {
        format!("{}:{port}", self.ip)
    }

    /// Returns the id of the process; `None` if it is not running.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Returns the path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Cuts the host's connections to targets, also those of later processes, or ends a cut. Only
    /// the program `cut_host` heeds it.
    pub fn cut(&self, cut: Cut) -> io::Result<()> {
        fs::write(cut::file(&self.settings), cut.to_string())
    }

    /// Runs another program from the next start on.
    pub fn set_program(&mut self, program: PathBuf) {
        self.process.set_program(program);
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        self.process.start()
    }

    /// Kills the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.kill()
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn pause(&self) -> io::Result<()> {
        self.process.pause()
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) -> io::Result<()> {
        self.process.resume()
    }

    /// Lets all writes of the process to files fail from now on, as on a full disk, or succeed again.
    /// The process must ignore `SIGXFSZ`.
    pub fn refuse_writes(&self, refuses: bool) -> io::Result<()> {
        self.process.refuse_writes(refuses)
    }

    /// Kills the process; the next start is not marked as the host's first.
    pub fn kill_started(&mut self) -> io::Result<()> {
        self.process.kill()?;
        let text = fs::read_to_string(&self.settings)?;
        let text = text.replace("\"is_first_start\":true", "\"is_first_start\":false");
        fs::write(&self.settings, text)
    }

    /// Writes other seeds to the settings file.
    pub fn set_seeds(&self, seeds: &[String]) -> io::Result<()> {
        let mut settings: Value = serde_json::from_slice(&fs::read(&self.settings)?)?;
        settings["seeds"] = json!(seeds);
        fs::write(&self.settings, settings.to_string())
    }

    /// Kills the process and removes its data; the next start is not marked as the host's first.
    pub fn wipe(&mut self) -> io::Result<()> {
        self.kill_started()?;
        match &self.data_folder {
            Some(folder) => fs::remove_dir_all(folder),
            None => Ok(()),
        }
    }

    /// Asks the process with `SIGTERM` to shut down, and does not wait for its end.
    pub fn terminate(&self) -> io::Result<()> {
        self.process.terminate()
    }

    /// Shuts the process down gracefully with `SIGTERM` and returns its exit code.
    pub fn stop(&mut self) -> io::Result<Option<i32>> {
        self.process.terminate()?;
        self.process.wait()
    }

    /// Returns the peak resident memory of the running process, in bytes; 0 if it is not running.
    pub fn peak_memory(&self) -> u64 {
        let Some(id) = self.process.id() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes: Option<u64> =
            line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
        kilobytes.unwrap_or(0) << 10
    }

    /// Returns the processor time of the running process, assuming 100 clock ticks a second, which
    /// Linux reports to processes on all common architectures; zero if it is not running.
    pub fn processor_time(&self) -> Duration {
        let Some(id) = self.process.id() else { return Duration::ZERO };
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok());
        Duration::from_millis(ticks.sum::<u64>() * 10)
    }

    /// Returns the log output of the process; empty if there is none.
    pub fn log(&self) -> String {
        fs::read_to_string(self.process.log_file()).unwrap_or_default()
    }
}

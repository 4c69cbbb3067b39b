//! One machine of a site.

use super::Ports;
use crate::cluster::Process;
use serde_json::json;
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

/// What all machines share.
pub struct Layout<'a> {
    /// The ports.
    pub ports: Ports,
    /// The platform.
    pub platform: SocketAddr,
    /// Where settings and data lie.
    pub folder: &'a Path,
    /// The program.
    pub program: &'a Path,
}

/// One machine of a site, at a loopback address of its own.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    ip: Ipv4Addr,
    process: Process,
    settings: PathBuf,
    data_folder: Option<PathBuf>,
}

impl Host {
    /// Writes the settings of a machine; the first `stores` machines have a disk.
    pub fn new(layout: &Layout<'_>, number: usize, stores: usize) -> io::Result<Self> {
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
            "times": {
                "heartbeat_ms": 300, "drain_ms": 2000, "grace_s": 3, "lease_ms": 1000,
                "report_window_s": 1, "report_due_s": 5, "results_kept_s": 120,
                "cancel_ms": 3000, "apply_ms": 2000, "address_ttl_s": 5
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
        let path = layout.folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings.to_string())?;
        let process = Process::new(layout.program.into(), path.clone()).with_verb("host");
        Ok(Self { name, ip: ip(number), process, settings: path, data_folder })
    }

    /// Returns where the machine listens on a port.
    pub fn address(&self, port: u16) -> String {
        format!("{}:{port}", self.ip)
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        self.process.start()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.kill()
    }

    /// Stops the process in the middle of what it does.
    pub fn pause(&self) -> io::Result<()> {
        self.process.pause()
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> io::Result<()> {
        self.process.resume()
    }

    /// Ends the process at once and takes its disk away; it starts as a newcomer.
    pub fn wipe(&mut self) -> io::Result<()> {
        self.process.kill()?;
        let text = fs::read_to_string(&self.settings)?;
        fs::write(
            &self.settings,
            text.replace("\"is_first_start\":true", "\"is_first_start\":false"),
        )?;
        match &self.data_folder {
            Some(folder) => fs::remove_dir_all(folder),
            None => Ok(()),
        }
    }

    /// Asks the process to finish what it does and end, and returns its exit code.
    pub fn stop(&mut self) -> io::Result<Option<i32>> {
        self.process.request_end()?;
        self.process.wait()
    }

    /// Returns what the process printed.
    pub fn log(&self) -> String {
        fs::read_to_string(self.process.log_file()).unwrap_or_default()
    }
}

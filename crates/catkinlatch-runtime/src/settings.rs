//! The settings of one process, as JSON with comments.

mod times;

pub use self::times::Times;

use catkinlatch_base::{HostId, RegionId, ZoneId};
use derive_more::{Display, Error};
use serde::Deserialize;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// The cluster that all processes of one deployment belong to.
pub const CLUSTER: &str = "catkinlatch";

/// Says why settings cannot be used.
#[derive(Debug, Display, Error)]
#[display("settings {}: {}", path.display(), findings.join("; "))]
pub struct LoadError {
    /// The file.
    pub path: PathBuf,
    /// All that is wrong with it.
    pub findings: Vec<String>,
}

/// The settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The machine's name, which the platform knows it by.
    pub name: String,
    /// The machine's address, which names the host between the processes.
    pub host: HostId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The region that the zone lies in.
    pub region: RegionId,
    /// Where callers connect, on an entry host.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// Where readiness is asked for, on an entry host.
    #[serde(default)]
    pub ready_address: Option<SocketAddr>,
    /// Where targets and operators connect, on a control host.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Where callers ask for addresses.
    #[serde(default)]
    pub directory_address: Option<SocketAddr>,
    /// Where metrics are served, if anywhere.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The port on which processes speak to each other, the same on all hosts.
    pub peer_port: u16,
    /// The control addresses of the hosts that are known from the start.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Where state is kept, on a host with a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Where usage is reported and targets are ordered.
    #[serde(default)]
    pub platform_address: Option<SocketAddr>,
    /// The losses of hosts with a disk that are to be borne at once.
    pub losses: usize,
    /// Times that the deployment sets.
    pub times: Times,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with the file.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let fail = |findings| LoadError { path: path.into(), findings };
        let text = std::fs::read_to_string(path)
            .map_err(|error| fail(vec![format!("cannot be read: {error}")]))?;
        let settings = Self::parse(&text).map_err(fail)?;
        let findings = settings.findings();
        if findings.is_empty() { Ok(settings) } else { Err(fail(findings)) }
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let options = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(|error| vec![error.to_string()])?;
        serde_json::from_value(value).map_err(|error| vec![error.to_string()])
    }

    /// Returns what contradicts itself.
    fn findings(&self) -> Vec<String> {
        let has_control = self.control_address.is_some();
        let checks = [
            (
                self.callers_address.is_some() || has_control,
                "names neither callers_address nor control_address; give the process a role",
            ),
            (
                !has_control || self.data_folder.is_some(),
                "a control host needs a data_folder; name one on a disk",
            ),
            (
                self.callers_address.is_some() == self.ready_address.is_some(),
                "callers_address and ready_address go together; name both",
            ),
            (!self.seeds.is_empty(), "seeds is empty; name up to three control addresses"),
            (
                self.times.report_window_ms() > 0,
                "report_window_s must be at least 0.001; take it from the deployment",
            ),
        ];
        let failed = checks.iter().filter(|(holds, _)| !holds);
        failed.map(|(_, finding)| (*finding).to_owned()).collect()
    }

    /// Returns the hosts that are known from the start.
    pub fn seed_hosts(&self) -> Vec<HostId> {
        let hosts = self.seeds.iter().map(|seed| seed.ip().to_string());
        let unique: BTreeSet<HostId> = hosts.filter_map(|host| host.parse().ok()).collect();
        unique.into_iter().collect()
    }
}

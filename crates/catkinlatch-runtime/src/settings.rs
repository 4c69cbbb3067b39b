//! Settings of a process, read from a JSON file with comments.

mod cold;
mod resources;
mod times;
mod waits;

pub use self::{cold::Cold, resources::Resources, times::Times, waits::Waits};

use catkinlatch_base::{HostId, RegionId, ZoneId};
use derive_more::{Display, Error};
use serde::Deserialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// Cluster id of all processes of a deployment.
pub const CLUSTER: &str = "catkinlatch";

/// Error of loading a settings file.
#[derive(Debug, Display, Error)]
#[display("settings {}: {}", path.display(), findings.join("; "))]
pub struct LoadError {
    /// The settings file.
    pub path: PathBuf,
    /// All problems found in the file.
    pub findings: Vec<String>,
}

/// Settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the machine on the platform.
    pub name: String,
    /// Address of the machine, which also serves as the host's id between processes.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Region that contains the zone.
    pub region: RegionId,
    /// Address at which callers connect; set on entry hosts.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// Address of the readiness endpoint; set on entry hosts.
    #[serde(default)]
    pub ready_address: Option<SocketAddr>,
    /// Address at which targets and operators connect; set on control hosts.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Address at which callers look up the entry hosts; `None` serves no directory.
    #[serde(default)]
    pub directory_address: Option<SocketAddr>,
    /// Address at which metrics are served; `None` serves none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Port for sessions between processes, the same on all hosts.
    pub peer_port: u16,
    /// Control addresses of the seed hosts.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time; the seed hosts then are the voters.
    pub is_first_start: bool,
    /// Folder for replicated state; required on control hosts.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Address of the platform, to which usage is reported and orders for targets are sent.
    #[serde(default)]
    pub platform_address: Option<SocketAddr>,
    /// Number of simultaneous losses of hosts with a disk to tolerate.
    pub losses: usize,
    /// Times set by the deployment.
    pub times: Times,
    /// What the process may use of its machine.
    #[serde(default)]
    pub resources: Resources,
    /// Bounds on what cold targets get; `None` if they tolerate everything.
    #[serde(default)]
    pub cold: Option<Cold>,
    /// Whether the leader divides the slots of a service among hosts if it has fewer slots than
    /// there are entry hosts.
    #[serde(default)]
    pub divides_slots: bool,
    /// Whether hosts share what they observe of targets, where that is of use.
    #[serde(default)]
    pub shares_observations: bool,
    /// Region of each availability zone.
    #[serde(default)]
    pub zones: BTreeMap<ZoneId, RegionId>,
}

impl Settings {
    /// Reads and validates settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, or if settings contradict each other.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let fail = |findings| LoadError { path: path.into(), findings };
        let text = std::fs::read_to_string(path)
            .map_err(|error| fail(vec![format!("cannot be read: {error}")]))?;
        let settings = Self::parse(&text).map_err(fail)?;
        let findings = settings.contradictions();
        if findings.is_empty() { Ok(settings) } else { Err(fail(findings)) }
    }

    /// Parses settings without validating them against each other.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error, or the first missing, unknown or invalid field.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let options = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &options)
            .map_err(|error| vec![error.to_string()])?;
        serde_json::from_value(value).map_err(|error| vec![error.to_string()])
    }

    /// Returns the contradictions between settings.
    fn contradictions(&self) -> Vec<String> {
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
                "report_window_s must be at least 0.001; use the deployment's value",
            ),
        ];
        let failed = checks.iter().filter(|(holds, _)| !holds);
        let failed = failed.map(|(_, finding)| (*finding).to_owned());
        failed.chain(self.times.waits().contradictions(&self.times)).collect()
    }

    /// Returns the ids of the seed hosts, sorted and without duplicates.
    pub fn seed_hosts(&self) -> Vec<HostId> {
        let hosts = self.seeds.iter().map(|seed| seed.ip().to_string());
        let unique: BTreeSet<HostId> = hosts.filter_map(|host| host.parse().ok()).collect();
        unique.into_iter().collect()
    }
}

//! A cluster of hosts on loopback.

use super::{Link, Process, ports};
use crate::client::Client;
use catkinlatch_base::HostId;
use catkinlatch_node::{
    Settings,
    settings::{Credential, Peer},
    status::Status,
};
use catkinlatch_state::config::{Change, Edit, Reply};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::{net::TcpListener, time};

/// Interval at which an expected state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an expected state is waited for, so that a test does not hang.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a status request to one host.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// How many lines of a host's log are added to the error if the host does not start to serve.
const MAX_LOG_LINES: usize = 20;

/// Number of zones that the hosts are spread over.
const ZONES: usize = 3;

/// The parameters of a cluster.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The path of the program.
    pub program: PathBuf,
    /// The directory of settings, logs and data.
    pub folder: PathBuf,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of hosts with a disk.
    pub disks: usize,
    /// The address of the platform, if there is one.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
    /// How long a voter may be unresponsive before it is replaced, in milliseconds.
    pub repair_after_ms: u64,
}

/// One host of the cluster.
#[derive(Debug)]
struct Host {
    settings: Settings,
    process: Process,
}

/// The hosts of a cluster, each a process, with a [`Link`] in each direction between any two.
#[derive(Debug)]
pub struct Cluster {
    hosts: Vec<Host>,
    links: BTreeMap<(usize, usize), Link>,
}

impl Cluster {
    /// Writes the settings of all hosts and opens the links; no process is started yet.
    ///
    /// # Errors
    ///
    /// Returns an error if no ports are free or a file can't be written.
    pub async fn new(layout: &Layout) -> io::Result<Self> {
        let ports = ports::allocate(layout.hosts * 3)?;
        let all: Vec<Settings> = (0..layout.hosts)
            .map(|index| host_settings(layout, index, &ports[index * 3..]))
            .collect();
        let mut links = BTreeMap::new();
        let mut hosts = Vec::new();
        for from in 0..layout.hosts {
            let mut peers = Vec::new();
            for (to, settings) in all.iter().enumerate() {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
                let address = listener.local_addr()?;
                links.insert((from, to), Link::start(listener, settings.peer_listen));
                peers.push(peer_of(settings, address));
            }
            let settings = Settings { peers, ..all[from].clone() };
            let file = layout.folder.join(format!("{}.jsonc", settings.host));
            fs::write(&file, settings_json(&settings)?)?;
            hosts.push(Host { settings, process: Process::new(layout.program.clone(), file) });
        }
        Ok(Self { hosts, links })
    }

    /// Returns the number of hosts.
    pub fn size(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the process of a host.
    pub fn process(&mut self, index: usize) -> &mut Process {
        &mut self.hosts[index].process
    }

    /// Starts all processes.
    pub fn start_all(&mut self) -> io::Result<()> {
        self.hosts.iter_mut().try_for_each(|host| host.process.start())
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) -> io::Result<()> {
        self.hosts.iter_mut().try_for_each(|host| host.process.kill())
    }

    /// Removes the data of a host, whose process must not be running.
    pub fn wipe(&self, index: usize) -> io::Result<()> {
        let Some(folder) = &self.hosts[index].settings.data_folder else { return Ok(()) };
        if folder.exists() { fs::remove_dir_all(folder) } else { Ok(()) }
    }

    /// Stops all traffic, both ways, on connections that host `from` opened to host `to`.
    pub fn cut(&self, from: usize, to: usize) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.cut();
        }
    }

    /// Stops all traffic between a host and the others.
    pub fn isolate(&self, index: usize) {
        for ((from, to), link) in &self.links {
            if *from == index || *to == index {
                link.cut();
            }
        }
    }

    /// Resumes the traffic on all links from and to a host.
    pub fn restore_links(&self, index: usize) {
        for ((from, to), link) in &self.links {
            if *from == index || *to == index {
                link.restore();
            }
        }
    }

    /// Returns the address of a host for callers.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.hosts[index].settings.listen
    }

    /// Returns the address of each host for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.size()).map(|index| self.address(index)).collect()
    }

    /// Returns a client of a host's operator interface.
    pub fn operator(&self, index: usize) -> Client {
        Client::new(self.hosts[index].settings.operator_listen)
    }

    /// Returns the index of a host.
    pub fn index_of(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|entry| entry.settings.host == *host)
    }

    /// Returns the status of a host, or `None` on an error or timeout.
    pub async fn status(&self, index: usize) -> Option<Status> {
        let operator = self.operator(index);
        let response = operator.get::<Status>("/v1/status");
        time::timeout(STATUS_TIMEOUT, response).await.ok()?.ok()
    }

    /// Returns the leader that more than half of all hosts report.
    pub async fn leader(&self) -> Option<usize> {
        let requests = (0..self.size()).map(|index| self.status(index));
        let answers = futures::future::join_all(requests).await;
        let mut votes = BTreeMap::<usize, usize>::new();
        for status in answers.into_iter().flatten() {
            if let Some(leader) = status.leader.as_ref().and_then(|host| self.index_of(host)) {
                *votes.entry(leader).or_default() += 1;
            }
        }
        votes.into_iter().find(|(_, count)| *count > self.size() / 2).map(|(leader, _)| leader)
    }

    /// Waits until there is a leader other than `old`, and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none within a minute.
    pub async fn wait_for_leader(&self, old: Option<usize>) -> Result<usize, String> {
        let mut found = None;
        self.wait("a leader", async || {
            found = self.leader().await.filter(|leader| Some(*leader) != old);
            found.is_some()
        })
        .await?;
        found.ok_or_else(|| "no leader was found".to_owned())
    }

    /// Waits until each of `hosts` holds a lease and has applied `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error with the host's last log lines if a host needs more than a minute.
    pub async fn wait_until_serving(&self, hosts: &[usize], revision: u64) -> Result<(), String> {
        for index in hosts {
            let host = &self.hosts[*index].settings.host;
            self.wait(&format!("{host} at revision {revision}"), async || {
                let Some(status) = self.status(*index).await else { return false };
                let own = status.nodes.iter().find(|node| node.host == *host);
                own.is_some_and(|node| node.lease_ms > 0 && node.revision.get() >= revision)
            })
            .await
            .map_err(|error| {
                format!("{error}; last log lines:\n{}", self.last_log_lines(*index))
            })?;
        }
        Ok(())
    }

    /// Returns the last lines of a host's log.
    fn last_log_lines(&self, index: usize) -> String {
        let text = fs::read_to_string(self.hosts[index].process.log_file()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(MAX_LOG_LINES)..].join("\n")
    }

    /// Polls until `holds` returns true; `what` describes the expected state.
    ///
    /// # Errors
    ///
    /// Returns an error if the state is not reached within a minute.
    pub async fn wait(
        &self,
        what: &str,
        mut holds: impl AsyncFnMut() -> bool,
    ) -> Result<(), String> {
        let until = time::Instant::now() + WAIT_TIMEOUT;
        while !holds().await {
            if time::Instant::now() > until {
                return Err(format!("timed out waiting for {what}"));
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Changes the configuration through a host, and returns its revision once it is in force.
    ///
    /// `request` is the request id that makes the change idempotent.
    ///
    /// # Errors
    ///
    /// Returns the host's answer if it does not accept the change.
    pub async fn change(
        &self,
        index: usize,
        request: &str,
        edits: Vec<Edit>,
    ) -> Result<u64, String> {
        let request = request.parse().map_err(|error| format!("{error}"))?;
        let change = Change { request, base: None, edits };
        let operator = self.operator(index);
        let answer = operator.post("/v1/config/changes?wait=in_force", &change).await?;
        match serde_json::from_slice(answer.body()) {
            Ok(Reply::Accepted { revision }) => Ok(revision.get()),
            Ok(_) | Err(_) => Err(String::from_utf8_lossy(answer.body()).into_owned()),
        }
    }
}

fn host_settings(layout: &Layout, index: usize, ports: &[u16]) -> Settings {
    let host = format!("host-{}", index + 1).parse().expect("the id is valid");
    let zone = format!("zone-{}", index % ZONES + 1).parse().expect("the id is valid");
    let address = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let data = data_folder(&layout.folder, index);
    let voters = (2 * layout.disks).saturating_sub(1).clamp(1, layout.hosts.min(5));
    let voters = if voters.is_multiple_of(2) { voters - 1 } else { voters };
    let name = |voter: usize| format!("host-{}", voter + 1).parse().expect("the id is valid");
    Settings {
        cluster: "loopback".parse().expect("the id is valid"),
        listen: address(ports[0]),
        operator_listen: address(ports[1]),
        peer_listen: address(ports[2]),
        data_folder: (index < layout.disks).then_some(data),
        initial_voters: (0..voters).map(name).collect(),
        platform: layout.platform.map(|address| address.to_string()),
        cluster_secret: Some(Credential::new("loopback-secret")),
        usage_window_ms: layout.usage_window_ms,
        repair_after_ms: layout.repair_after_ms,
        ..Settings::loopback(host, zone)
    }
}

/// Serializes settings as in a settings file, which omits absent fields instead of writing null.
fn settings_json(settings: &Settings) -> io::Result<Vec<u8>> {
    let mut value = serde_json::to_value(settings)?;
    drop_nulls(&mut value);
    Ok(serde_json::to_vec_pretty(&value)?)
}

fn drop_nulls(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(drop_nulls);
        }
        Value::Array(items) => items.iter_mut().for_each(drop_nulls),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
    }
}

fn data_folder(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("data-{}", index + 1))
}

fn peer_of(settings: &Settings, address: SocketAddr) -> Peer {
    Peer {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        region: None,
        peer_address: address.to_string(),
        advertise: settings.listen.to_string(),
        operator_address: settings.operator_listen.to_string(),
        disk: settings.data_folder.is_some(),
    }
}

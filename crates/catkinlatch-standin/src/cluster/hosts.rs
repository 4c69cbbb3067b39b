//! The hosts of a cluster on loopback.

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

/// How often a state that is waited for is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// After how long a state that does not come is given up, so that a run does not hang.
const HANG_GUARD: Duration = Duration::from_secs(60);

/// How long a process may take to answer one question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How many lines of a process are shown when it does not come up.
const LINES_SHOWN: usize = 20;

/// How many zones the hosts are spread over.
const ZONES: usize = 3;

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The program.
    pub program: PathBuf,
    /// Where settings, logs and data are kept.
    pub folder: PathBuf,
    /// How many hosts there are.
    pub hosts: usize,
    /// How many of them have a disk.
    pub disks: usize,
    /// Where the platform listens, if there is one.
    pub platform: Option<SocketAddr>,
    /// How long a usage window lasts, in milliseconds.
    pub usage_window_ms: u64,
    /// How long a voter may be silent before it is replaced, in milliseconds.
    pub repair_after_ms: u64,
}

/// One host.
#[derive(Debug)]
struct Host {
    settings: Settings,
    process: Process,
}

/// The hosts of a cluster, each one process, with a link between each two.
#[derive(Debug)]
pub struct Cluster {
    hosts: Vec<Host>,
    links: BTreeMap<(usize, usize), Link>,
}

impl Cluster {
    /// Writes the settings and opens the links; no process is started yet.
    pub async fn new(layout: &Layout) -> io::Result<Self> {
        let ports = ports::free(layout.hosts * 3)?;
        let all: Vec<Settings> = (0..layout.hosts)
            .map(|index| settings_of(layout, index, &ports[index * 3..]))
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
            fs::write(&file, document(&settings)?)?;
            hosts.push(Host { settings, process: Process::new(layout.program.clone(), file) });
        }
        Ok(Self { hosts, links })
    }

    /// Returns how many hosts there are.
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

    /// Removes what a killed host kept on its disk.
    pub fn wipe(&self, index: usize) -> io::Result<()> {
        let Some(folder) = &self.hosts[index].settings.data_folder else { return Ok(()) };
        if folder.exists() { fs::remove_dir_all(folder) } else { Ok(()) }
    }

    /// Delivers nothing more that goes from one host to another over connections of the first.
    pub fn cut(&self, from: usize, to: usize) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.cut();
        }
    }

    /// Cuts a host off from all others, both ways.
    pub fn isolate(&self, index: usize) {
        for ((from, to), link) in &self.links {
            if *from == index || *to == index {
                link.cut();
            }
        }
    }

    /// Mends the links from and to a host.
    pub fn mend_host(&self, index: usize) {
        for ((from, to), link) in &self.links {
            if *from == index || *to == index {
                link.mend();
            }
        }
    }

    /// Returns where callers connect to a host.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.hosts[index].settings.listen
    }

    /// Returns where callers connect to each host.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        (0..self.size()).map(|index| self.address(index)).collect()
    }

    /// Returns a client for operators of a host.
    pub fn operator(&self, index: usize) -> Client {
        Client::new(self.hosts[index].settings.operator_listen)
    }

    /// Returns the place of a host.
    pub fn index_of(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|entry| entry.settings.host == *host)
    }

    /// Asks a host what it knows.
    pub async fn status(&self, index: usize) -> Option<Status> {
        let operator = self.operator(index);
        let asking = operator.get::<Status>("/v1/status");
        time::timeout(ANSWER_TIMEOUT, asking).await.ok()?.ok()
    }

    /// Returns the leader that most of the answering hosts name, if they agree.
    pub async fn leader(&self) -> Option<usize> {
        let asked = (0..self.size()).map(|index| self.status(index));
        let answers = futures::future::join_all(asked).await;
        let mut votes = BTreeMap::<usize, usize>::new();
        for status in answers.into_iter().flatten() {
            if let Some(leader) = status.leader.as_ref().and_then(|host| self.index_of(host)) {
                *votes.entry(leader).or_default() += 1;
            }
        }
        votes.into_iter().find(|(_, count)| *count > self.size() / 2).map(|(leader, _)| leader)
    }

    /// Waits until a leader other than `old` leads, and returns it.
    pub async fn new_leader(&self, old: Option<usize>) -> Result<usize, String> {
        let mut found = None;
        self.wait("a leader", async || {
            found = self.leader().await.filter(|leader| Some(*leader) != old);
            found.is_some()
        })
        .await?;
        found.ok_or_else(|| "no leader was found".to_owned())
    }

    /// Waits until each host of `hosts` may serve and has applied `revision`.
    pub async fn all_serve(&self, hosts: &[usize], revision: u64) -> Result<(), String> {
        for index in hosts {
            let host = &self.hosts[*index].settings.host;
            self.wait(&format!("{host} at revision {revision}"), async || {
                let Some(status) = self.status(*index).await else { return false };
                let own = status.nodes.iter().find(|node| node.host == *host);
                own.is_some_and(|node| node.lease_ms > 0 && node.revision.get() >= revision)
            })
            .await
            .map_err(|error| format!("{error}; it printed:\n{}", self.last_lines(*index)))?;
        }
        Ok(())
    }

    /// Returns the end of what a host's process printed.
    fn last_lines(&self, index: usize) -> String {
        let text = fs::read_to_string(self.hosts[index].process.log_file()).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LINES_SHOWN)..].join("\n")
    }

    /// Waits until a state holds.
    pub async fn wait(
        &self,
        what: &str,
        mut holds: impl AsyncFnMut() -> bool,
    ) -> Result<(), String> {
        let until = time::Instant::now() + HANG_GUARD;
        while !holds().await {
            if time::Instant::now() > until {
                return Err(format!("{what} did not come"));
            }
            time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Changes the configuration through a host, and returns the revision once it is in force.
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

fn settings_of(layout: &Layout, index: usize, ports: &[u16]) -> Settings {
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

/// Writes settings as a file has them, in which an absent field is left out.
fn document(settings: &Settings) -> io::Result<Vec<u8>> {
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

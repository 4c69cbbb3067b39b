//! A deployment with relays between entry hosts and store hosts.

use super::{document, record::Record};
use bytes::Bytes;
use catkinlatch_standin::site::{self, Relay, Service, Shape, Site};
use http::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::{
    net::Ipv4Addr,
    path::PathBuf,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use tokio::time;

/// `config_apply_ms` of the deployment.
pub const APPLY: Duration = Duration::from_millis(2_000);

/// `contact_ms` of the deployment.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// `ack_ms` of the deployment.
pub const ACK: Duration = Duration::from_millis(4_000);

/// The number of hosts that callers connect to.
pub const ENTRIES: usize = 3;

/// The number of store hosts that vote first, which are the seeds.
const VOTERS: usize = 3;

/// Addresses of the hosts, which callers and operators need.
#[derive(Clone)]
pub struct Addresses {
    pub entries: Vec<String>,
    pub controls: Vec<String>,
    client: catkinlatch_runtime::http::Client,
}

pub struct Setup {
    pub site: Site,
    pub relays: Vec<Relay>,
    pub services: Vec<Service>,
    pub addresses: Addresses,
    _folder: TempDir,
}

impl Setup {
    /// Starts a deployment, puts version 1 in force and waits until all entry hosts serve it.
    pub async fn start(stores: usize, services: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let program = std::env::var_os("CONFIRMED_PROGRAM").map(PathBuf::from);
        let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_catkinlatch").into());
        let ips: Vec<Ipv4Addr> =
            (0..stores).map(|number| Ipv4Addr::new(127, 0, 0, 11 + number as u8)).collect();
        let mut relays = Vec::new();
        for _ in 0..ENTRIES {
            relays.push(Relay::bind(&ips).await.unwrap());
        }
        let ports: Vec<u16> = relays.iter().map(Relay::port).collect();
        let adjust = |number: usize, settings: &mut Value| {
            settings["times"]["apply_ms"] = json!(APPLY.as_millis() as u64);
            // Earlier builds know neither.
            if std::env::var_os("CONFIRMED_OLD").is_none() {
                settings["times"]["contact_ms"] = json!(CONTACT.as_millis() as u64);
                settings["times"]["ack_ms"] = json!(ACK.as_millis() as u64);
            }
            settings["seeds"].as_array_mut().unwrap().truncate(VOTERS);
            if number >= stores {
                settings["peer_port"] = json!(ports[number - stores]);
            }
        };
        let shape = Shape { stores, entries: ENTRIES, adjust: &adjust };
        let site = Site::start_shaped(&program, folder.path(), &shape).await.unwrap();
        relays.iter_mut().for_each(|relay| relay.run(site.ports.peers));
        let addresses = Addresses {
            entries: site.entries().iter().map(|host| host.address(site.ports.callers)).collect(),
            controls: site.stores().iter().map(|host| host.address(site.ports.control)).collect(),
            client: catkinlatch_runtime::http::Client::new(),
        };
        let mut started = Vec::new();
        for number in 0..services {
            let id = format!("survey-{number}");
            let controls = addresses.controls.clone();
            started.push(Service::start(&id, "survey", controls).await.unwrap());
        }
        site.control("PUT", "/config", &document::valid(1, 0)).await;
        let setup = Self { site, relays, services: started, addresses, _folder: folder };
        for entry in 0..ENTRIES {
            setup.await_served(entry, 1).await;
        }
        setup
    }

    async fn await_served(&self, entry: usize, version: u64) {
        for _ in 0..1_500 {
            let path = document::path(version);
            let answer = self.addresses.send(entry, &path, "first", "", ACK).await;
            if answer.is_some_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        panic!("entry {entry} does not serve version {version}");
    }

    /// Copies the logs of all hosts below the folder that `CONFIRMED_LOGS` names, if it is set;
    /// the setup's own folder is deleted with it.
    pub fn keep_logs(&self, name: &str) {
        let Ok(folder) = std::env::var("CONFIRMED_LOGS") else { return };
        let folder = PathBuf::from(folder).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        for host in &self.site.hosts {
            std::fs::write(folder.join(format!("{}.log", host.name)), host.log()).unwrap();
        }
    }

    /// Returns the number of the store host that leads, by the hosts' logs.
    pub fn leader(&self) -> usize {
        let term = |host: &site::Host| {
            let log = host.log();
            let roles = log.lines().filter(|line| line.contains("\"event\":\"role\""));
            let roles = roles.filter_map(|line| serde_json::from_str::<Value>(line).ok());
            let leading = roles.filter(|role| role["role"] == "leader");
            leading.filter_map(|role| role["term"].as_u64()).max()
        };
        let terms = self.site.stores().iter().map(term).enumerate();
        terms.max_by_key(|(_, term)| *term).unwrap().0
    }
}

impl Addresses {
    /// Sends a request with the team's API key to an entry host over a new connection; returns
    /// nothing if the call fails or gets no response in `deadline`.
    pub async fn send(
        &self,
        entry: usize,
        path: &str,
        id: &str,
        body: &str,
        deadline: Duration,
    ) -> Option<Response<Bytes>> {
        let request = site::request("POST", path, id, deadline);
        let request = request.body(body.as_bytes().to_vec()).unwrap();
        self.exchange(&self.entries[entry], request, deadline).await
    }

    /// Sends a control call to a store host.
    pub async fn control(
        &self,
        store: usize,
        method: Method,
        body: &str,
    ) -> Option<Response<Bytes>> {
        let request = Request::builder().method(method).uri("/config").header("host", "control");
        let request = request.body(body.as_bytes().to_vec()).unwrap();
        self.exchange(&self.controls[store], request, ACK).await
    }

    async fn exchange(
        &self,
        address: &str,
        request: Request<Vec<u8>>,
        limit: Duration,
    ) -> Option<Response<Bytes>> {
        let request = request.map(catkinlatch_runtime::http::full);
        let call = async {
            let exchange = self.client.send_new(address, request).await.ok()?;
            exchange.read_body(1 << 20).await.ok()
        };
        time::timeout(limit, call).await.ok().flatten()
    }

    /// Sends a configuration to store hosts in turn, beginning with `first`, until one acknowledges
    /// or rejects it, and records the acknowledgement; returns the status, or `None` after 20 s.
    pub async fn put(
        &self,
        record: &Record,
        first: usize,
        version: u64,
        body: &str,
    ) -> Option<StatusCode> {
        let began = Instant::now();
        for attempt in 0.. {
            if began.elapsed() > 5 * ACK {
                return None;
            }
            let store = (first + attempt) % self.controls.len();
            let answer = self.control(store, Method::PUT, body).await;
            match answer.map(|answer| answer.status()) {
                Some(status) if status.is_success() => {
                    record.acknowledge(version, began, Instant::now());
                    return Some(status);
                }
                Some(status) if status.is_client_error() => return Some(status),
                _ => time::sleep(Duration::from_millis(50)).await,
            }
        }
        None
    }
}

//! A complete deployment on loopback: hosts that run the real program, with stand-ins for targets
//! and platform that implement the platform's HTTP calls.

mod cold;
mod configuration;
mod engine;
mod flood;
mod host;
mod lifecycle;
mod limit;
mod platform;
pub mod raw;
mod relay;
mod script;
mod service;
mod soak;
mod target;

pub use self::{
    cold::{COLD_PER_SECOND, Cold, MAX_COLD_REQUESTS},
    configuration::{HOST, configuration, request},
    engine::Engine,
    flood::{Flood, Pace, Place, event_text},
    host::Host,
    lifecycle::{CRASHING_BODY, Lifecycle, SILENCING_BODY},
    limit::Limit,
    platform::{Outage, Platform},
    relay::Relay,
    script::{Reply, Rest, Script},
    service::{Arrival, FLOODED, Flaw, Headers, Service},
    soak::{Report, Soak},
    target::Target,
};

use crate::cluster::ports;
use http::{Request, StatusCode};
use serde_json::Value;
use std::{io, path::Path, time::Duration};
use tokio::time;

/// The number of hosts with a disk.
const STORES: usize = 3;

/// The number of hosts that callers connect to.
const ENTRIES: usize = 2;

/// Longest time in which the hosts accept a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(120);

/// The ports that every host of a site listens on, at its own loopback address.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Accepts callers' requests.
    pub callers: u16,
    /// Serves readiness checks.
    pub ready: u16,
    /// Accepts targets, trainers and operators.
    pub control: u16,
    /// Serves the addresses of entry hosts to callers.
    pub directory: u16,
    /// Accepts sessions from other processes of the deployment.
    pub peers: u16,
}

/// A running deployment on loopback.
#[derive(Debug)]
pub struct Site {
    /// The hosts with a disk, followed by those that callers connect to.
    pub hosts: Vec<Host>,
    /// The ports that every host uses.
    pub ports: Ports,
    /// The platform that receives usage reports.
    pub platform: Platform,
    client: catkinlatch_runtime::http::Client,
    store_count: usize,
}

/// How many hosts a site has, and in what their settings differ from the usual ones.
pub struct Shape<'a> {
    /// The number of hosts with a disk.
    pub stores: usize,
    /// The number of hosts that callers connect to.
    pub entries: usize,
    /// Changes the settings of the host with this number; those with a disk come first.
    pub adjust: &'a dyn Fn(usize, &mut serde_json::Value),
}

impl Site {
    /// Starts all processes without waiting for any of them to be ready, entry hosts first.
    ///
    /// Settings, logs and data are written below `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if no ports are free, a file can't be written or a process can't be
    /// started.
    pub async fn start(program: &Path, folder: &Path) -> io::Result<Self> {
        Self::start_with(program, folder, &Value::Null).await
    }

    /// Like [`Self::start`], with further settings of all hosts, an object or nothing.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::start`] does.
    pub async fn start_with(program: &Path, folder: &Path, settings: &Value) -> io::Result<Self> {
        let adjust = |_: usize, host: &mut Value| {
            for (key, value) in settings.as_object().into_iter().flatten() {
                host[key.as_str()] = value.clone();
            }
        };
        let shape = Shape { stores: STORES, entries: ENTRIES, adjust: &adjust };
        Self::start_shaped(program, folder, &shape).await
    }

    /// Like [`Self::start`], with other hosts and settings.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::start`] does.
    pub async fn start_shaped(
        program: &Path,
        folder: &Path,
        shape: &Shape<'_>,
    ) -> io::Result<Self> {
        let allocated = ports::allocate(5)?;
        let ports = Ports {
            callers: allocated[0],
            ready: allocated[1],
            control: allocated[2],
            directory: allocated[3],
            peers: allocated[4],
        };
        let platform = Platform::start().await?;
        let layout = host::Layout { ports, platform: platform.address(), folder, program };
        let mut hosts = Vec::new();
        for number in 0..shape.stores + shape.entries {
            hosts.push(Host::new(&layout, number, shape)?);
        }
        hosts.iter_mut().rev().try_for_each(Host::start)?;
        let client = catkinlatch_runtime::http::Client::new();
        Ok(Self { hosts, ports, platform, client, store_count: shape.stores })
    }

    /// Returns the hosts with a disk.
    pub fn stores(&self) -> &[Host] {
        &self.hosts[..self.store_count]
    }

    /// Returns the hosts that callers connect to.
    pub fn entries(&self) -> &[Host] {
        &self.hosts[self.store_count..]
    }

    /// Sends a request over a new connection and returns the complete response, or `None` on an
    /// error or after 5 s.
    pub async fn call(
        &self,
        address: &str,
        request: Request<Vec<u8>>,
    ) -> Option<http::Response<bytes::Bytes>> {
        let request = request.map(catkinlatch_runtime::http::full);
        let call = async {
            let exchange = self.client.send_new(address, request).await.ok()?;
            exchange.read_body(64 << 20).await.ok()
        };
        time::timeout(Duration::from_secs(5), call).await.ok().flatten()
    }

    /// Sends a request to each store host in turn until one answers with success, and returns the
    /// body.
    ///
    /// # Panics
    ///
    /// Panics if a host answers with 400 Bad Request, or if none answers with success in two
    /// minutes; the logs of the hosts are printed then.
    pub async fn control(&self, method: &str, path: &str, body: &str) -> bytes::Bytes {
        match time::timeout(CONTROL_TIMEOUT, self.try_control(method, path, body)).await {
            Ok(answer) => answer,
            Err(_) => {
                for host in &self.hosts {
                    eprintln!("log of {}:\n{}", host.name, host.log());
                }
                panic!("no host accepts {method} {path}");
            }
        }
    }

    async fn try_control(&self, method: &str, path: &str, body: &str) -> bytes::Bytes {
        for attempt in 0.. {
            let host = &self.stores()[attempt % self.store_count];
            let request = Request::builder().method(method).uri(path).header("host", "control");
            let request = request.body(body.as_bytes().to_vec()).expect("the request is valid");
            let answer = self.call(&host.address(self.ports.control), request).await;
            match answer {
                Some(answer) if answer.status().is_success() => return answer.into_body(),
                Some(answer) if answer.status() == StatusCode::BAD_REQUEST => {
                    panic!("{method} {path} was rejected: {:?}", answer.body());
                }
                _ => time::sleep(Duration::from_millis(50)).await,
            }
        }
        unreachable!("the loop returns only on success")
    }
}

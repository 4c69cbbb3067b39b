//! A whole deployment on loopback: hosts of the real program, and stand-ins that speak the
//! platform's calls.

mod configuration;
mod engine;
mod host;
mod platform;
mod service;
mod soak;
mod target;

pub use self::{
    configuration::{HOST, configuration, request},
    engine::Engine,
    host::Host,
    platform::Platform,
    service::Service,
    soak::{Report, Soak},
    target::Target,
};

use crate::cluster::ports;
use http::{Request, StatusCode};
use std::{io, path::Path, time::Duration};
use tokio::time;

/// The machines with a disk.
const STORES: usize = 3;

/// The machines that callers connect to.
const ENTRIES: usize = 2;

/// Ports that all machines of a site use.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Where callers connect.
    pub callers: u16,
    /// Where readiness is asked for.
    pub ready: u16,
    /// Where targets and operators connect.
    pub control: u16,
    /// Where callers ask for addresses.
    pub directory: u16,
    /// Where processes speak to each other.
    pub peers: u16,
}

/// A whole deployment on loopback.
#[derive(Debug)]
pub struct Site {
    /// The machines with a disk, then those that callers connect to.
    pub hosts: Vec<Host>,
    /// The ports.
    pub ports: Ports,
    /// What takes reports.
    pub platform: Platform,
    client: catkinlatch_runtime::http::Client,
}

impl Site {
    /// Starts all processes at once, in no order.
    pub async fn start(program: &Path, folder: &Path) -> io::Result<Self> {
        let free = ports::free(5)?;
        let ports = Ports {
            callers: free[0],
            ready: free[1],
            control: free[2],
            directory: free[3],
            peers: free[4],
        };
        let platform = Platform::start().await?;
        let layout = host::Layout { ports, platform: platform.address(), folder, program };
        let mut hosts = Vec::new();
        for number in 0..STORES + ENTRIES {
            hosts.push(Host::new(&layout, number, STORES)?);
        }
        hosts.iter_mut().rev().try_for_each(Host::start)?;
        let client = catkinlatch_runtime::http::Client::new();
        Ok(Self { hosts, ports, platform, client })
    }

    /// Returns the machines with a disk.
    pub fn stores(&self) -> &[Host] {
        &self.hosts[..STORES]
    }

    /// Returns the machines that callers connect to.
    pub fn entries(&self) -> &[Host] {
        &self.hosts[STORES..]
    }

    /// Sends a call over a new connection and returns the answer's status and body, if one comes.
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

    /// Sends a call to one control host after another until it is answered with success.
    pub async fn control(&self, method: &str, path: &str, body: &str) -> bytes::Bytes {
        for attempt in 0.. {
            let host = &self.stores()[attempt % STORES];
            let request = Request::builder().method(method).uri(path).header("host", "control");
            let request = request.body(body.as_bytes().to_vec()).expect("the call is valid");
            let answer = self.call(&host.address(self.ports.control), request).await;
            match answer {
                Some(answer) if answer.status().is_success() => return answer.into_body(),
                Some(answer) if answer.status() == StatusCode::BAD_REQUEST => {
                    panic!("{method} {path} was refused: {:?}", answer.body());
                }
                _ => time::sleep(Duration::from_millis(50)).await,
            }
        }
        unreachable!("the loop ends with an answer")
    }
}

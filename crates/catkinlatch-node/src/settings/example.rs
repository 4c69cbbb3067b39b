//! Example settings files, with all fields and comments, for a cluster on loopback.

use catkinlatch_base::ZoneId;
use derive_more::{Display, Error};
use std::fmt::Write;

/// The number of ports of each host: for callers, operators and peers.
const PORTS_PER_HOST: u16 = 3;

/// The size and first port of an example cluster on loopback.
#[derive(Clone, Debug)]
pub struct Example {
    hosts: u16,
    zones: u16,
    disks: u16,
    base_port: u16,
}

/// Why a cluster of that size is not possible.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ExampleError {
    /// There are no hosts or no zones.
    #[display("hosts and zones must be at least 1")]
    Empty,
    /// There are more disks than hosts; each host has at most one.
    #[display("there are more disks than hosts; lower --disks")]
    Disks,
    /// The ports exceed 65535, or the first one is 0.
    #[display("the hosts need 3 ports each below 65536; lower --base-port or --hosts")]
    Ports,
}

/// A settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// The name of the file.
    pub name: String,
    /// The content of the file.
    pub text: String,
}

impl Example {
    /// Creates an example of `hosts` hosts spread over `zones` availability zones, of which the
    /// first `disks` have a disk.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no hosts or zones, more disks than hosts, or not enough ports
    /// from `base_port` on.
    pub fn new(hosts: u16, zones: u16, disks: u16, base_port: u16) -> Result<Self, ExampleError> {
        if hosts == 0 || zones == 0 {
            return Err(ExampleError::Empty);
        }
        if disks > hosts {
            return Err(ExampleError::Disks);
        }
        let last = u32::from(base_port) + u32::from(hosts) * u32::from(PORTS_PER_HOST) - 1;
        if base_port == 0 || last > u32::from(u16::MAX) {
            return Err(ExampleError::Ports);
        }
        Ok(Self { hosts, zones, disks, base_port })
    }

    /// Returns one settings file per host; `secret` is the shared secret of the cluster.
    pub fn files(&self, secret: &str) -> Vec<File> {
        (0..self.hosts)
            .map(|index| File {
                name: format!("host-{}.jsonc", index + 1),
                text: self.text(index, secret),
            })
            .collect()
    }

    fn zone(&self, index: u16) -> ZoneId {
        let zone = format!("zone-{}", index % self.zones + 1);
        zone.parse().expect("the id is valid")
    }

    fn port(&self, index: u16, interface: u16) -> u16 {
        self.base_port + index * PORTS_PER_HOST + interface
    }

    /// Returns the greatest odd number of voters, at most five, of which the hosts with a disk form
    /// a majority, if any host has one.
    fn voters(&self) -> u16 {
        let allowed = if self.disks == 0 { 5 } else { (2 * self.disks - 1).min(5) };
        let most = allowed.min(self.hosts);
        if most % 2 == 0 { most - 1 } else { most }
    }

    fn peers(&self) -> String {
        let mut text = String::new();
        for index in 0..self.hosts {
            let (zone, disk) = (self.zone(index), index < self.disks);
            let [public, operator, peer] = [0, 1, 2].map(|n| self.port(index, n));
            writeln!(
                text,
                "    {{ \"host\": \"host-{}\", \"zone\": \"{zone}\", \"disk\": {disk}, \
                 \"advertise\": \"127.0.0.1:{public}\",\n      \
                 \"operator_address\": \"127.0.0.1:{operator}\", \
                 \"peer_address\": \"127.0.0.1:{peer}\" }},",
                index + 1
            )
            .expect("a string takes any text");
        }
        text
    }

    fn text(&self, index: u16, secret: &str) -> String {
        let host = format!("host-{}", index + 1);
        let voters: Vec<String> = (1..=self.voters()).map(|n| format!("\"host-{n}\"")).collect();
        let data_folder = if index < self.disks {
            format!(
                "  // The disk folder of the control log, from the folder of this file.\n  \"data_folder\": \"{host}.data\",\n"
            )
        } else {
            "  // This host has no disk: no \"data_folder\".\n".to_owned()
        };
        let [public, operator, peer] = [0, 1, 2].map(|n| self.port(index, n));
        TEMPLATE
            .replace("{host}", &host)
            .replace("{zone}", self.zone(index).as_str())
            .replace("{public}", &public.to_string())
            .replace("{operator}", &operator.to_string())
            .replace("{peer}", &peer.to_string())
            .replace("{data_folder}", &data_folder)
            .replace("{peers}", &self.peers())
            .replace("{voters}", &voters.join(", "))
            .replace("{secret}", secret)
    }
}

/// The settings file, with placeholders in braces for the values that differ between hosts.
const TEMPLATE: &str = include_str!("example.jsonc");

//! Faults of hosts and links that a soak test injects.

use crate::cluster::Cluster;
use derive_more::Display;
use std::io;

/// Maximum number of hosts with a fault at the same time.
const MAX_FAILED: usize = 2;

/// One fault of a host, given by its index.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The process is killed, and started again when the fault ends.
    #[display("host-{} killed", _0 + 1)]
    Kill(usize),
    /// The process is killed and its data removed; it is started again when the fault ends.
    #[display("host-{} killed and wiped", _0 + 1)]
    Wipe(usize),
    /// The process is suspended until the fault ends.
    #[display("host-{} paused", _0 + 1)]
    Pause(usize),
    /// All traffic between the host and the others is stopped.
    #[display("host-{} cut off", _0 + 1)]
    Isolate(usize),
    /// All traffic on connections that the host opened is stopped.
    #[display("host-{} cut off one way", _0 + 1)]
    CutOutbound(usize),
    /// The process is told to shut down gracefully, and started again when the fault ends.
    #[display("host-{} restarted", _0 + 1)]
    Restart(usize),
}

impl Fault {
    /// Chooses a fault for a random host; returns `None` if that host already has a fault, or if
    /// the maximum number of hosts has one.
    ///
    /// A disk is wiped only while there is no other fault: losing two disks at once would lose a
    /// quorum of the disks.
    pub fn choose<'a>(
        random: &mut fastrand::Rng,
        hosts: usize,
        open: impl Iterator<Item = &'a Self>,
    ) -> Option<Self> {
        let open: Vec<&Self> = open.collect();
        let host = random.usize(..hosts);
        if open.len() >= MAX_FAILED || open.iter().any(|fault| fault.host() == host) {
            return None;
        }
        Some(match random.u8(..6) {
            0 => Self::Kill(host),
            1 if open.is_empty() => Self::Wipe(host),
            2 => Self::Pause(host),
            3 => Self::Isolate(host),
            4 => Self::CutOutbound(host),
            _ => Self::Restart(host),
        })
    }

    /// Injects the fault.
    pub fn begin(&self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::Kill(host) => cluster.process(*host).kill(),
            Self::Wipe(host) => {
                cluster.process(*host).kill()?;
                cluster.wipe(*host)
            }
            Self::Pause(host) => cluster.process(*host).pause(),
            Self::Isolate(host) => {
                cluster.isolate(*host);
                Ok(())
            }
            Self::CutOutbound(host) => {
                (0..cluster.size()).for_each(|to| cluster.cut(*host, to));
                Ok(())
            }
            Self::Restart(host) => cluster.process(*host).terminate(),
        }
    }

    /// Ends the fault, so that the host runs and is connected again.
    pub fn end(&self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::Kill(host) | Self::Wipe(host) => cluster.process(*host).start(),
            Self::Pause(host) => cluster.process(*host).resume(),
            Self::Isolate(host) | Self::CutOutbound(host) => {
                cluster.restore_links(*host);
                Ok(())
            }
            Self::Restart(host) => {
                cluster.process(*host).kill()?;
                cluster.process(*host).start()
            }
        }
    }

    fn host(&self) -> usize {
        match self {
            Self::Kill(host)
            | Self::Wipe(host)
            | Self::Pause(host)
            | Self::Isolate(host)
            | Self::CutOutbound(host)
            | Self::Restart(host) => *host,
        }
    }
}

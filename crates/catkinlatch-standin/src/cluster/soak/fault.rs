//! Failures of hosts and links.

use crate::cluster::Cluster;
use derive_more::Display;
use std::io;

/// How many hosts may fail at one time.
const MAX_FAILED: usize = 2;

/// One failure.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The process is killed, and started again at the end.
    #[display("host-{} killed", _0 + 1)]
    Kill(usize),
    /// The process is killed and its disk wiped; it is started again at the end.
    #[display("host-{} killed and wiped", _0 + 1)]
    Wipe(usize),
    /// The process is stopped in the middle of what it does.
    #[display("host-{} paused", _0 + 1)]
    Pause(usize),
    /// The host is cut off both ways.
    #[display("host-{} cut off", _0 + 1)]
    Isolate(usize),
    /// What the host sends on its own connections is lost.
    #[display("host-{} cut off one way", _0 + 1)]
    Mute(usize),
    /// The process is asked to end, and started again at the end.
    #[display("host-{} restarted", _0 + 1)]
    Restart(usize),
}

impl Fault {
    /// Draws a failure of a host that does not fail already.
    ///
    /// Only one disk is wiped at a time: two that are lost at once are a quorum of the disks.
    pub fn draw<'a>(
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
            4 => Self::Mute(host),
            _ => Self::Restart(host),
        })
    }

    /// Makes the host fail.
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
            Self::Mute(host) => {
                (0..cluster.size()).for_each(|to| cluster.cut(*host, to));
                Ok(())
            }
            Self::Restart(host) => cluster.process(*host).request_end(),
        }
    }

    /// Heals the host.
    pub fn end(&self, cluster: &mut Cluster) -> io::Result<()> {
        match self {
            Self::Kill(host) | Self::Wipe(host) => cluster.process(*host).start(),
            Self::Pause(host) => cluster.process(*host).resume(),
            Self::Isolate(host) | Self::Mute(host) => {
                cluster.mend_host(*host);
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
            | Self::Mute(host)
            | Self::Restart(host) => *host,
        }
    }
}

//! Relays connections to targets for other hosts.

use super::{Answer, Request};
use crate::http::{Dialer, dialer::Io};
use catkinlatch_wire::{Frame, Hello, Offer, Tunnel, codec};
use log::{debug, info};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::io::{AsyncWriteExt as _, copy, split};

/// Timeout of the connection to a target: less than the other host waits for its answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns why a connection to an address is not relayed, or `None` if it is.
type Refusal = Box<dyn Fn(&str) -> Option<Answer> + Send + Sync>;

/// Relays connections for other hosts, up to a number at once.
pub struct Server {
    dialer: Arc<Dialer>,
    refusal: Refusal,
    max_tunnels: usize,
    tunnels: AtomicUsize,
}

/// Counts a tunnel until dropped.
struct Count<'a>(&'a AtomicUsize);

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Creates a server that relays at most `max_tunnels` connections at once, which it opens
    /// directly with `dialer`, and none for which `refusal` returns an answer.
    pub fn new(
        dialer: Arc<Dialer>,
        max_tunnels: usize,
        refusal: impl Fn(&str) -> Option<Answer> + Send + Sync + 'static,
    ) -> Self {
        Self { dialer, refusal: Box::new(refusal), max_tunnels, tunnels: AtomicUsize::new(0) }
    }

    /// Returns the number of tunnels that are open or being opened.
    pub fn tunnels(&self) -> usize {
        self.tunnels.load(Ordering::Relaxed)
    }

    /// Handles a tunnel that another host asks for, until it ends.
    pub async fn serve(&self, remote: Hello, frame: Frame, offer: Offer) {
        let Ok(request) = codec::decode::<Request>(&frame.payload) else { return };
        let is_free = self.tunnels.fetch_add(1, Ordering::Relaxed) < self.max_tunnels;
        let _count = Count(&self.tunnels);
        let refusal = if self.dialer.is_cut_off() {
            Some(Answer::CutOff)
        } else {
            (self.refusal)(&request.address).or((!is_free).then_some(Answer::Busy))
        };
        let opened = match refusal {
            Some(answer) => Err(answer),
            None => self.open(&request.address).await,
        };
        let target = match opened {
            Ok(target) => target,
            Err(answer) => {
                info!(
                    host:% = remote.host, address = request.address.as_str(), answer:% = answer;
                    "relay: refused a tunnel"
                );
                let _ = offer.refuse(&Frame::new(codec::encode(&answer))).await;
                return;
            }
        };
        metrics::counter!("catkinlatch_relay_tunnels").increment(1);
        let Ok(tunnel) = offer.accept(&Frame::new(codec::encode(&Answer::Opened))).await else {
            return;
        };
        if let Err(error) = pass_on(tunnel, target).await {
            debug!("relay: a tunnel for {} ended: {error}", remote.host);
        }
    }

    async fn open(&self, address: &str) -> Result<Box<dyn Io>, Answer> {
        self.dialer.open_for_other(address, CONNECT_TIMEOUT).await.ok_or(Answer::Unreachable)
    }
}

/// Passes bytes on in both directions until both have ended or one side fails. The connection to
/// the target is closed as soon as the other host gives the tunnel up.
async fn pass_on(tunnel: Tunnel, target: Box<dyn Io>) -> io::Result<()> {
    let (mut from_host, mut to_host) = split(tunnel);
    let (mut from_target, mut to_target) = split(target);
    let ended = {
        let inbound = async {
            copy(&mut from_host, &mut to_target).await?;
            to_target.shutdown().await
        };
        let outbound = async {
            copy(&mut from_target, &mut to_host).await?;
            to_host.shutdown().await
        };
        tokio::try_join!(inbound, outbound)
    };
    if let Err(error) = ended {
        // A reset of the target's connection is passed on as one.
        if error.kind() != io::ErrorKind::NetworkUnreachable {
            from_host.unsplit(to_host).abort();
        }
        return Err(error);
    }
    Ok(())
}

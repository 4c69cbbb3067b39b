//! Sessions with the other nodes of the cluster.

use super::message::{Message, Reply};
use crate::{Clock, Settings, settings::Credential};
use catkinlatch_base::{HostId, Incarnation, Timeline, ZoneId};
use catkinlatch_runtime::CallError;
use catkinlatch_wire::{Destination, Error, Frame, Hello, Link, Secret, codec, link};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::task::JoinSet;

/// The links to all other nodes of the cluster, each with at most one open session.
#[derive(Debug)]
pub struct Peers {
    local: Hello,
    secret: Secret,
    timeline: Arc<Timeline>,
    clock: Clock,
    zones: BTreeMap<HostId, ZoneId>,
    links: BTreeMap<HostId, Link>,
}

impl Peers {
    /// Creates a link to each other host in the settings; tasks in `tasks` keep a session open on
    /// each.
    pub fn new(
        settings: &Settings,
        incarnation: Incarnation,
        timeline: Arc<Timeline>,
        clock: Clock,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let shared_digests = settings.shared_digests();
        let local = Hello {
            protocol: catkinlatch_wire::PROTOCOL,
            cluster: settings.cluster.clone(),
            host: settings.host.clone(),
            incarnation,
            zone: settings.zone.clone(),
            settings_digest: shared_digests.timing_digest(),
        };
        let secret = settings.cluster_secret.as_ref();
        let secret = Secret::new(secret.map_or("", Credential::expose));
        let greeting = codec::encode(&Message::Greeting(shared_digests));
        let others = || settings.peers.iter().filter(|peer| peer.host != settings.host);
        let zones = others().map(|peer| (peer.host.clone(), peer.zone.clone())).collect();
        let links = others().map(|peer| {
            let destination =
                Destination { host: peer.host.clone(), address: peer.peer_address.clone() };
            let (link, driver) = link(destination, local.clone(), secret.clone(), greeting.clone());
            tasks.spawn(driver);
            (peer.host.clone(), link)
        });
        let links = links.collect();
        Self { local, secret, timeline, clock, zones, links }
    }

    /// Returns the other hosts, connected or not.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.links.keys()
    }

    /// Returns the zone of another host.
    pub fn zone(&self, host: &HostId) -> Option<&ZoneId> {
        self.zones.get(host)
    }

    /// Returns the incarnation of another host's node, if a session with it is open.
    pub fn incarnation(&self, host: &HostId) -> Option<Incarnation> {
        self.links.get(host)?.session().map(|session| session.remote().incarnation)
    }

    /// Returns whether a session with another host is open.
    pub fn is_connected(&self, host: &HostId) -> bool {
        self.links.get(host).is_some_and(|link| link.session().is_some())
    }

    /// Returns the identity that this node presents when a session opens.
    pub fn local(&self) -> &Hello {
        &self.local
    }

    /// Returns the shared secret of the cluster.
    pub fn secret(&self) -> &Secret {
        &self.secret
    }

    /// Sends a message without waiting for a reply; messages may be lost, but are not reordered.
    pub fn send(&self, host: &HostId, message: &Message) {
        if let Some(link) = self.links.get(host) {
            link.send(self.frame(message));
        }
    }

    /// Sends a message to all other nodes without waiting for replies; each copy may be lost.
    pub fn broadcast(&self, message: &Message) {
        let frame = self.frame(message);
        for link in self.links.values() {
            link.send(frame.clone());
        }
    }

    /// Sends a message and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no session is open, and [`CallError::Unknown`] if the
    /// message may have been handled, but no valid reply came within `timeout`.
    pub async fn call(
        &self,
        host: &HostId,
        message: &Message,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let not_sent = || CallError::NotSent { host: host.clone() };
        let session = self.links.get(host).and_then(Link::session).ok_or_else(not_sent)?;
        let frame = self.frame(message);
        let unknown = |reason| CallError::Unknown { host: host.clone(), reason };
        let answer = match tokio::time::timeout(timeout, session.call(&frame)).await {
            Ok(answer) => answer.map_err(unknown)?,
            Err(_) => return Err(unknown(Error::Timeout)),
        };
        self.observe(&answer);
        codec::decode(&answer.payload).map_err(|error| unknown(Error::protocol(error.to_string())))
    }

    /// Encodes a message in a frame stamped with this node's hybrid clock.
    pub(super) fn frame<T: serde::Serialize>(&self, message: &T) -> Frame {
        let stamp = self.timeline.observe(self.clock.wall_ms(), 0, 0);
        Frame::new(codec::encode(message)).with_clock(stamp.wall_ms, stamp.counter)
    }

    /// Advances this node's hybrid clock past the stamp of a received frame.
    pub(super) fn observe(&self, frame: &Frame) {
        self.timeline.observe(self.clock.wall_ms(), frame.wall_ms, frame.counter);
    }
}

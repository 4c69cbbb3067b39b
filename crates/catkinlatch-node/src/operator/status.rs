//! What an operator sees of the cluster through one node.

use crate::{
    Node as NodeContext,
    peer::{Message, Reply},
};
use catkinlatch_base::{HostId, Revision, Term, ZoneId, derive_schema};
use catkinlatch_route::{Announcement, target::Role};
use derive_more::Display;
use std::{fmt, time::Duration};

derive_schema! {
    /// What an operator sees of the cluster through one node.
    pub struct Status {
        /// The host that answers.
        pub host: HostId,
        /// The availability zone of the host that answers.
        pub zone: ZoneId,
        /// The leader's host, if there is one.
        pub leader: Option<HostId>,
        /// The term of the control log.
        pub term: Term,
        /// How many commands the node has applied.
        pub revision: Revision,
        /// The revision of the last accepted change of the configuration.
        pub config_revision: Revision,
        /// The hosts that vote on the control log.
        pub voters: Vec<HostId>,
        /// The nodes of the cluster.
        pub nodes: Vec<Node>,
        /// The targets that the node knows.
        pub targets: Vec<Announcement>,
    }
}

derive_schema! {
    /// What is known of one node.
    #[derive(Display)]
    #[display(
        "{host} in {zone}: revision {revision}, lease {lease_ms} ms{}",
        match (reachable, draining) {
            (false, _) => ", not reachable",
            (true, true) => ", draining",
            (true, false) => "",
        }
    )]
    pub struct Node {
        /// The host.
        pub host: HostId,
        /// The availability zone.
        pub zone: ZoneId,
        /// How many commands the node has applied, as far as is known here.
        pub revision: Revision,
        /// How much longer the node may serve without hearing the leader, in milliseconds.
        pub lease_ms: u64,
        /// Whether the node answered; the other figures are empty if it did not.
        pub reachable: bool,
        /// Whether the node drains.
        pub draining: bool,
    }
}

/// How long a node may take to answer for itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns what this node says of itself.
pub(crate) fn own_node(node: &NodeContext) -> Node {
    let left = node.control.serving_until().map(|until| until - node.clock.now());
    let lease_ms = left.unwrap_or_default().as_millis();
    Node {
        host: node.settings.host.clone(),
        zone: node.settings.zone.clone(),
        revision: node.control.state().revision(),
        lease_ms: u64::try_from(lease_ms).unwrap_or(u64::MAX),
        reachable: true,
        draining: node.draining(),
    }
}

/// Asks each node for itself.
pub(crate) async fn all_nodes(node: &NodeContext) -> Vec<Node> {
    let others = node.peers.hosts().map(|host| ask_node(node, host));
    let mut nodes = futures::future::join_all(others).await;
    nodes.push(own_node(node));
    nodes.sort_by(|a, b| a.host.cmp(&b.host));
    nodes
}

async fn ask_node(node: &NodeContext, host: &HostId) -> Node {
    let unknown = || Node {
        host: host.clone(),
        zone: node.peers.zone(host).unwrap_or(&node.settings.zone).clone(),
        revision: Revision::default(),
        lease_ms: 0,
        reachable: false,
        draining: false,
    };
    match node.peers.call(host, &Message::Node, ANSWER_TIMEOUT).await {
        Ok(Reply::Node(status)) => status,
        Ok(_) | Err(_) => unknown(),
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leader = self.leader.as_ref().map_or("none", HostId::as_str);
        writeln!(f, "leader {leader}, term {}, revision {}", self.term, self.revision)?;
        let voters: Vec<&str> = self.voters.iter().map(HostId::as_str).collect();
        writeln!(f, "voters {}", voters.join(" "))?;
        for node in &self.nodes {
            writeln!(f, "node {node}")?;
        }
        for target in &self.targets {
            let role = match &target.role {
                Role::Engine { model, version } => format!("model {model} version {version}"),
                Role::Service { route } => format!("service {route}"),
            };
            writeln!(f, "target {} in {}: {role}, {} slots", target.id, target.zone, target.slots)?;
        }
        Ok(())
    }
}

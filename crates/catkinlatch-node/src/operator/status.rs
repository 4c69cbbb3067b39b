//! Status of the cluster as seen by one node.

use crate::{
    Node as NodeContext,
    peer::{Message, Reply},
};
use catkinlatch_base::{HostId, Revision, Term, ZoneId, derive_schema};
use catkinlatch_route::{Announcement, target::Role};
use derive_more::Display;
use std::{collections::BTreeSet, fmt, time::Duration};

derive_schema! {
    /// The status of the cluster as seen by one node.
    pub struct Status {
        /// The host of the node that answers.
        pub host: HostId,
        /// The availability zone of that host.
        pub zone: ZoneId,
        /// The host of the leader, if one is known.
        pub leader: Option<HostId>,
        /// The newest term of the control log that the node has seen.
        pub term: Term,
        /// The position in the control log of the last command that the node has applied.
        pub revision: Revision,
        /// The revision of the last accepted change of the configuration.
        pub config_revision: Revision,
        /// The hosts of the voters of the control log.
        pub voters: Vec<HostId>,
        /// All nodes of the cluster, sorted by host.
        pub nodes: Vec<Node>,
        /// The targets in the node's table.
        pub targets: Vec<Announcement>,
        /// The zones whose targets get nothing new.
        #[serde(default)]
        pub evacuated: BTreeSet<ZoneId>,
    }
}

derive_schema! {
    /// The status of one node.
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
        /// The host of the node.
        pub host: HostId,
        /// The availability zone of the host.
        pub zone: ZoneId,
        /// The position in the control log of the last command that the node has applied.
        pub revision: Revision,
        /// The rest of the node's configuration lease, in milliseconds: how long it may serve
        /// without contact with the leader.
        pub lease_ms: u64,
        /// Whether the node answered; if not, `revision`, `lease_ms` and `draining` are zero or
        /// false.
        pub reachable: bool,
        /// Whether the node is draining.
        pub draining: bool,
    }
}

/// The timeout for the status of another node.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the status of this node.
pub(crate) fn local_node(node: &NodeContext) -> Node {
    let remaining = node.control.configuration_lease_end().map(|until| until - node.clock.now());
    let lease_ms = remaining.unwrap_or_default().as_millis();
    Node {
        host: node.settings.host.clone(),
        zone: node.settings.zone.clone(),
        revision: node.control.state().revision(),
        lease_ms: u64::try_from(lease_ms).unwrap_or(u64::MAX),
        reachable: true,
        draining: node.is_draining(),
    }
}

/// Returns the status of all nodes, asking the others for theirs.
pub(crate) async fn all_nodes(node: &NodeContext) -> Vec<Node> {
    let others = node.peers.hosts().map(|host| fetch_node(node, host));
    let mut nodes = futures::future::join_all(others).await;
    nodes.push(local_node(node));
    nodes.sort_by(|a, b| a.host.cmp(&b.host));
    nodes
}

async fn fetch_node(node: &NodeContext, host: &HostId) -> Node {
    let unreachable = || Node {
        host: host.clone(),
        zone: node.peers.zone(host).unwrap_or(&node.settings.zone).clone(),
        revision: Revision::default(),
        lease_ms: 0,
        reachable: false,
        draining: false,
    };
    match node.peers.call(host, &Message::Node, STATUS_TIMEOUT).await {
        Ok(Reply::Node(status)) => status,
        Ok(_) | Err(_) => unreachable(),
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
        for zone in &self.evacuated {
            writeln!(f, "evacuated {zone}")?;
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

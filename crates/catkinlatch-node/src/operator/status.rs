//! What an operator sees of the cluster through one node.

use catkinlatch_base::{HostId, Revision, Term, ZoneId, derive_schema};
use catkinlatch_route::{Announcement, target::Role};
use derive_more::Display;
use std::fmt;

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
        if *draining { ", draining" } else { "" }
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
        /// Whether the node drains.
        pub draining: bool,
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

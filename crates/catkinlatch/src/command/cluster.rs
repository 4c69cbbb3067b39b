//! `catkinlatch cluster`.

use super::{
    exit::{Failure, Outcome, block_on, print, print_json},
    operator::Client,
};
use argh::FromArgs;
use catkinlatch_base::HostId;
use catkinlatch_node::cluster;
use std::{path::PathBuf, process::ExitCode};

/// Shows the members of the control log, or overrides its voters.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "cluster",
    example = "{command_name} members --settings host-1.jsonc",
    example = "{command_name} override --settings host-1.jsonc --host host-1 --host host-2 --confirm",
    error_code(2, "the node cannot be used"),
    error_code(4, "the override needs --confirm")
)]
pub struct Cluster {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Members(Members),
    Override(Override),
}

/// Prints the members of the control log, as reported by its leader.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which gives its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints JSON
    #[argh(switch)]
    json: bool,
}

/// Replaces the voters without the consent of a quorum, after the others are permanently lost.
#[derive(FromArgs)]
#[argh(subcommand, name = "override")]
struct Override {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which gives its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// a host that becomes a voter; may be repeated
    #[argh(option)]
    host: Vec<HostId>,
    /// confirms that all other voters are stopped permanently, and that data that only they have is
    /// lost
    #[argh(switch)]
    confirm: bool,
}

impl Cluster {
    /// Runs the subcommand.
    pub fn run(self) -> Outcome {
        match self.subcommand {
            Subcommand::Members(subcommand) => subcommand.run(),
            Subcommand::Override(subcommand) => subcommand.run(),
        }
    }
}

impl Members {
    fn run(self) -> Outcome {
        let client = Client::new(self.operator, self.settings.as_deref())?;
        let members: cluster::Members = block_on(client.get("/v1/cluster/members"))?;
        if self.json {
            print_json(&members);
            return Ok(ExitCode::SUCCESS);
        }
        let leader = members.leader.as_ref().map_or("none", HostId::as_str);
        print(format!("leader {leader}, term {}", members.term));
        for member in &members.members {
            let role = if member.votes { "voter" } else { "learner" };
            let disk = if member.has_disk { "disk" } else { "no disk" };
            let (host, zone, revision) = (&member.host, &member.zone, member.revision);
            print(format!("{host} in {zone}: {role}, {disk}, revision {revision}"));
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Override {
    fn run(self) -> Outcome {
        if !self.confirm {
            return Err(Failure::Unconfirmed(
                "an override loses data that only the other voters have; stop them permanently, \
                 then add --confirm"
                    .to_owned(),
            ));
        }
        let client = Client::new(self.operator, self.settings.as_deref())?;
        let request = cluster::Override { hosts: self.host };
        let reply: cluster::Override = block_on(client.post("/v1/cluster/override", &request))?;
        let hosts: Vec<&str> = reply.hosts.iter().map(HostId::as_str).collect();
        print(format!("voters: {}", hosts.join(" ")));
        Ok(ExitCode::SUCCESS)
    }
}

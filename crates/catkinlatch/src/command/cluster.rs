//! `catkinlatch cluster`.

use super::{
    exit::{Failure, Outcome, block_on, print, print_json},
    operator::Operator,
};
use argh::FromArgs;
use catkinlatch_base::HostId;
use catkinlatch_node::cluster;
use std::{path::PathBuf, process::ExitCode};

/// Shows the voters of the control log, or overrides them by hand.
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
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Members(Members),
    Override(Override),
}

/// Prints the nodes of the control log as its leader knows them.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which names its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// prints JSON
    #[argh(switch)]
    json: bool,
}

/// Makes hosts the voters without asking a quorum, after the others are lost for good.
#[derive(FromArgs)]
#[argh(subcommand, name = "override")]
struct Override {
    /// the operator address of a node, as host:port
    #[argh(option)]
    operator: Option<String>,
    /// the settings file of a node, which names its operator address and token
    #[argh(option)]
    settings: Option<PathBuf>,
    /// a host that becomes a voter; give it once for each
    #[argh(option)]
    host: Vec<HostId>,
    /// says that all other voters are stopped for good, and that what only they hold is lost
    #[argh(switch)]
    confirm: bool,
}

impl Cluster {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        match self.verb {
            Verb::Members(verb) => verb.run(),
            Verb::Override(verb) => verb.run(),
        }
    }
}

impl Members {
    fn run(self) -> Outcome {
        let operator = Operator::new(self.operator, self.settings.as_deref())?;
        let members: cluster::Members = block_on(operator.get("/v1/cluster/members"))?;
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
                "an override loses what only other voters hold; stop them for good, then add \
                 --confirm"
                    .to_owned(),
            ));
        }
        let operator = Operator::new(self.operator, self.settings.as_deref())?;
        let wanted = cluster::Override { hosts: self.host };
        let made: cluster::Override = block_on(operator.post("/v1/cluster/override", &wanted))?;
        let hosts: Vec<&str> = made.hosts.iter().map(HostId::as_str).collect();
        print(format!("voters are {}", hosts.join(" ")));
        Ok(ExitCode::SUCCESS)
    }
}

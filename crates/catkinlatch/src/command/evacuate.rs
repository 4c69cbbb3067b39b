//! `catkinlatch evacuate`.

use super::{
    exit::{Outcome, block_on, print, print_json},
    operator::Client,
};
use argh::FromArgs;
use catkinlatch_base::ZoneId;
use catkinlatch_node::evacuation::{Decision, Evacuated};
use std::{path::PathBuf, process::ExitCode};

/// Evacuates a zone: its targets get nothing new until the evacuation ends. May be repeated.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "evacuate",
    example = "{command_name} zone-a --settings host-1.jsonc\n    {command_name} zone-a --end --settings host-1.jsonc",
    error_code(2, "the node cannot be used, or the decision is not known to be in force")
)]
pub struct Evacuate {
    /// the zone
    #[argh(positional)]
    zone: ZoneId,
    /// ends the evacuation of the zone
    #[argh(switch)]
    end: bool,
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

impl Evacuate {
    /// Makes the decision and waits until it is in force on all nodes.
    pub fn run(self) -> Outcome {
        let client = Client::new(self.operator, self.settings.as_deref())?;
        let decision = Decision { zone: self.zone, ends: self.end };
        let evacuated: Evacuated = block_on(client.post("/v1/evacuation", &decision))?;
        if self.json {
            print_json(&evacuated);
        } else if evacuated.zones.is_empty() {
            print("no zone is evacuated");
        } else {
            let zones: Vec<&str> = evacuated.zones.iter().map(ZoneId::as_str).collect();
            print(format!("evacuated: {}", zones.join(" ")));
        }
        Ok(ExitCode::SUCCESS)
    }
}

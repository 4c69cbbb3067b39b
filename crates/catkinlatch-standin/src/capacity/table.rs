//! Predicts the load of each role of a node from the unit costs.

use super::{Size, UnitCosts};
use std::fmt;

/// Commands in the log per claim: one opens it and one finishes it.
const COMMANDS_PER_CLAIM: f64 = 2.0;

/// Announcements that a target sends per second.
const ANNOUNCEMENTS_PER_SECOND: f64 = 1.0;

/// Heartbeats that the leader sends to a learner per second.
const HEARTBEATS_PER_SECOND: f64 = 1.0;

/// Maximum number of claims in the state.
const MAX_CLAIMS: f64 = 20_000.0;

/// Configuration changes in the busiest second.
const MAX_CHANGES_PER_SECOND: f64 = 2.0;

/// The load of one role at one size.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Processor time as a share of a core.
    core_share: f64,
    memory_bytes: f64,
    /// Sent bytes per second.
    bytes_per_second: f64,
}

/// The load of all roles today and at the planned size, displayed as Markdown tables.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    costs: UnitCosts,
}

impl Table {
    /// Creates the table from measured unit costs.
    pub fn new(costs: UnitCosts) -> Self {
        Self { costs }
    }

    /// Returns the load of routing on a node: target choice, admission, usage and announcements.
    fn entry(&self, size: &Size) -> Load {
        let costs = &self.costs;
        let requests = size.requests_per_second / size.nodes;
        let seconds_per_request = costs.choose_seconds_per_target * size.targets
            + costs.admit_seconds
            + costs.admit_seconds_per_team * size.teams
            + costs.meter_seconds;
        let announcements = size.targets * ANNOUNCEMENTS_PER_SECOND;
        let own_announcements = announcements / size.nodes;
        Load {
            core_share: requests * seconds_per_request + announcements * costs.frame_seconds,
            memory_bytes: size.targets * costs.target_bytes,
            bytes_per_second: own_announcements * (size.nodes - 1.0) * costs.announcement_bytes,
        }
    }

    /// Returns the load of replicating the state on a learner.
    fn learner(&self, size: &Size) -> Load {
        let costs = &self.costs;
        let commands = commands_per_second(size);
        let claims = (size.requests_per_second * size.claim_share * 3600.0).min(MAX_CLAIMS);
        Load {
            core_share: commands * (costs.apply_seconds + costs.frame_seconds)
                + HEARTBEATS_PER_SECOND * costs.frame_seconds,
            memory_bytes: size.teams * costs.team_bytes
                + size.keys * costs.key_bytes
                + claims * costs.claim_bytes,
            bytes_per_second: HEARTBEATS_PER_SECOND * costs.heartbeat_bytes / 2.0,
        }
    }

    /// Returns the load of replicating the log from the leader to other nodes.
    ///
    /// The load of the leader's own state is the same as on a learner and comes in addition.
    fn leader(&self, size: &Size) -> Load {
        let costs = &self.costs;
        let claims = commands_per_second(size) * costs.claim_command_bytes;
        let changes = size.changes_per_day / 86_400.0 * costs.change_bytes;
        let bytes_per_node = claims + changes + HEARTBEATS_PER_SECOND * costs.heartbeat_bytes / 2.0;
        let frames = commands_per_second(size) + HEARTBEATS_PER_SECOND;
        Load {
            core_share: size.nodes_per_sender * frames * costs.frame_seconds,
            memory_bytes: 0.0,
            bytes_per_second: size.nodes_per_sender * bytes_per_node,
        }
    }

    /// Returns the bytes that the leader sends in the busiest second of configuration changes.
    fn change_burst(&self, size: &Size) -> f64 {
        size.nodes_per_sender * MAX_CHANGES_PER_SECOND * self.costs.change_bytes
    }
}

/// Returns the commands per second that claims add to the log.
fn commands_per_second(size: &Size) -> f64 {
    size.requests_per_second * size.claim_share * COMMANDS_PER_CLAIM
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let costs = &self.costs;
        writeln!(f, "| slope | measured |\n| --- | --- |")?;
        writeln!(
            f,
            "| choice among targets | {:.1} ns a target |",
            costs.choose_seconds_per_target * 1e9
        )?;
        writeln!(f, "| admission | {:.2} µs a request |", costs.admit_seconds * 1e6)?;
        writeln!(
            f,
            "| admission, each known team | {:.2} ns a request |",
            costs.admit_seconds_per_team * 1e9
        )?;
        writeln!(f, "| usage | {:.2} µs a request |", costs.meter_seconds * 1e6)?;
        writeln!(f, "| applying a claim | {:.2} µs |", costs.apply_seconds * 1e6)?;
        writeln!(f, "| frame, encoded and decoded | {:.2} µs |", costs.frame_seconds * 1e6)?;
        writeln!(f, "| team in memory | {:.0} B |", costs.team_bytes)?;
        writeln!(f, "| key in memory | {:.0} B |", costs.key_bytes)?;
        writeln!(f, "| target in memory | {:.0} B |", costs.target_bytes)?;
        writeln!(f, "| claim in memory | {:.0} B |", costs.claim_bytes)?;
        writeln!(f, "| announcement between nodes | {:.0} B |", costs.announcement_bytes)?;
        writeln!(f, "| heartbeat and answer | {:.0} B |", costs.heartbeat_bytes)?;
        writeln!(f, "| command of a claim | {:.0} B |", costs.claim_command_bytes)?;
        writeln!(f, "| small configuration change | {:.0} B |\n", costs.change_bytes)?;
        writeln!(
            f,
            "| role | size | share of a core | memory | sent a second | within the limits |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- |")?;
        for (name, size) in [("today", Size::TODAY), ("aim", Size::PLANNED)] {
            row(f, "entry", name, &size, self.entry(&size))?;
            row(f, "learner", name, &size, self.learner(&size))?;
            row(f, "leader, beside learner", name, &size, self.leader(&size))?;
        }
        let burst = self.change_burst(&Size::PLANNED) / 1024.0;
        writeln!(f, "\nOne second with two changes at the aim makes the leader send {burst:.0} KB.")
    }
}

fn row(f: &mut fmt::Formatter<'_>, role: &str, name: &str, size: &Size, load: Load) -> fmt::Result {
    let mut exceeded = Vec::new();
    if load.core_share > size.max_core_share {
        exceeded.push("core");
    }
    if load.memory_bytes > size.max_memory_bytes {
        exceeded.push("memory");
    }
    if load.bytes_per_second > size.max_bytes_per_second {
        exceeded.push("bytes");
    }
    let verdict =
        if exceeded.is_empty() { "yes".to_owned() } else { format!("no: {}", exceeded.join(", ")) };
    writeln!(
        f,
        "| {role} | {name} | {:.3}% | {:.1} MB | {:.2} KB | {verdict} |",
        load.core_share * 100.0,
        load.memory_bytes / 1048576.0,
        load.bytes_per_second / 1024.0,
    )
}

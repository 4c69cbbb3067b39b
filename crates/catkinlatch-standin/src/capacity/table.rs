//! What the slopes come to, by role.

use super::{Size, Slopes};
use std::fmt;

/// Commands that one claim takes: to open and to finish it.
const COMMANDS_PER_CLAIM: f64 = 2.0;

/// How often a target announces itself, each second.
const ANNOUNCEMENTS_PER_SECOND: f64 = 1.0;

/// How often a learner hears the leader, each second.
const BEATS_PER_SECOND: f64 = 1.0;

/// The most claims that are kept.
const CLAIMS_KEPT: f64 = 20_000.0;

/// How many configuration changes fall on the busiest second, at most.
const CHANGES_IN_A_SECOND: f64 = 2.0;

/// The figures of one role at one size.
#[derive(Clone, Copy, Debug)]
struct Load {
    core_share: f64,
    memory_bytes: f64,
    bytes_per_second: f64,
}

/// The figures of all roles today and at the aim, as a table in Markdown.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    slopes: Slopes,
}

impl Table {
    /// Creates the table from measured slopes.
    pub fn new(slopes: Slopes) -> Self {
        Self { slopes }
    }

    /// Returns the load of a node for routing: choice, admission, usage, announcements.
    fn entry(&self, size: &Size) -> Load {
        let s = &self.slopes;
        let requests = size.requests_per_second / size.nodes;
        let request = s.choose_seconds_per_target * size.targets
            + s.admit_seconds
            + s.admit_seconds_per_team * size.teams
            + s.meter_seconds;
        let heard = size.targets * ANNOUNCEMENTS_PER_SECOND;
        let own = heard / size.nodes;
        Load {
            core_share: requests * request + heard * s.frame_seconds,
            memory_bytes: size.targets * s.target_bytes,
            bytes_per_second: own * (size.nodes - 1.0) * s.announcement_bytes,
        }
    }

    /// Returns the load of a node for holding the replicated state as a learner.
    fn learner(&self, size: &Size) -> Load {
        let s = &self.slopes;
        let commands = commands(size);
        let claims = (size.requests_per_second * size.claim_share * 3600.0).min(CLAIMS_KEPT);
        Load {
            core_share: commands * (s.apply_seconds + s.frame_seconds)
                + BEATS_PER_SECOND * s.frame_seconds,
            memory_bytes: size.teams * s.team_bytes
                + size.keys * s.key_bytes
                + claims * s.claim_bytes,
            bytes_per_second: BEATS_PER_SECOND * s.beat_bytes / 2.0,
        }
    }

    /// Returns the load of the leader for feeding other nodes, beside what it bears as a learner.
    fn leader(&self, size: &Size) -> Load {
        let s = &self.slopes;
        let claims = commands(size) * s.claim_command_bytes;
        let changes = size.changes_per_day / 86_400.0 * s.change_bytes;
        let each = claims + changes + BEATS_PER_SECOND * s.beat_bytes / 2.0;
        let frames = commands(size) + BEATS_PER_SECOND;
        Load {
            core_share: size.fed_by_one * frames * s.frame_seconds,
            memory_bytes: 0.0,
            bytes_per_second: size.fed_by_one * each,
        }
    }

    /// Returns what one busy second of configuration changes makes the leader send, in bytes.
    fn change_burst(&self, size: &Size) -> f64 {
        size.fed_by_one * CHANGES_IN_A_SECOND * self.slopes.change_bytes
    }
}

/// Returns the commands that claims put into the log each second.
fn commands(size: &Size) -> f64 {
    size.requests_per_second * size.claim_share * COMMANDS_PER_CLAIM
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.slopes;
        writeln!(f, "| slope | measured |\n| --- | --- |")?;
        writeln!(
            f,
            "| choice among targets | {:.1} ns a target |",
            s.choose_seconds_per_target * 1e9
        )?;
        writeln!(f, "| admission | {:.2} µs a request |", s.admit_seconds * 1e6)?;
        writeln!(
            f,
            "| admission, each known team | {:.2} ns a request |",
            s.admit_seconds_per_team * 1e9
        )?;
        writeln!(f, "| usage | {:.2} µs a request |", s.meter_seconds * 1e6)?;
        writeln!(f, "| applying a claim | {:.2} µs |", s.apply_seconds * 1e6)?;
        writeln!(f, "| frame, encoded and decoded | {:.2} µs |", s.frame_seconds * 1e6)?;
        writeln!(f, "| team in memory | {:.0} B |", s.team_bytes)?;
        writeln!(f, "| key in memory | {:.0} B |", s.key_bytes)?;
        writeln!(f, "| target in memory | {:.0} B |", s.target_bytes)?;
        writeln!(f, "| claim in memory | {:.0} B |", s.claim_bytes)?;
        writeln!(f, "| announcement between nodes | {:.0} B |", s.announcement_bytes)?;
        writeln!(f, "| heartbeat and answer | {:.0} B |", s.beat_bytes)?;
        writeln!(f, "| command of a claim | {:.0} B |", s.claim_command_bytes)?;
        writeln!(f, "| small configuration change | {:.0} B |\n", s.change_bytes)?;
        writeln!(
            f,
            "| role | size | share of a core | memory | sent a second | within the limits |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- |")?;
        for (name, size) in [("today", Size::TODAY), ("aim", Size::AIM)] {
            row(f, "entry", name, &size, self.entry(&size))?;
            row(f, "learner", name, &size, self.learner(&size))?;
            row(f, "leader, beside learner", name, &size, self.leader(&size))?;
        }
        let burst = self.change_burst(&Size::AIM) / 1024.0;
        writeln!(f, "\nOne second with two changes at the aim makes the leader send {burst:.0} KB.")
    }
}

fn row(f: &mut fmt::Formatter<'_>, role: &str, name: &str, size: &Size, load: Load) -> fmt::Result {
    let mut over = Vec::new();
    if load.core_share > size.max_core_share {
        over.push("core");
    }
    if load.memory_bytes > size.max_memory_bytes {
        over.push("memory");
    }
    if load.bytes_per_second > size.max_bytes_per_second {
        over.push("bytes");
    }
    let verdict =
        if over.is_empty() { "yes".to_owned() } else { format!("no: {}", over.join(", ")) };
    writeln!(
        f,
        "| {role} | {name} | {:.3}% | {:.1} MB | {:.2} KB | {verdict} |",
        load.core_share * 100.0,
        load.memory_bytes / 1048576.0,
        load.bytes_per_second / 1024.0,
    )
}

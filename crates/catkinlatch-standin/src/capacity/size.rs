//! The size that the service is built towards.

/// The size that the service is built towards.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Nodes of the system.
    pub nodes: f64,
    /// Model workers.
    pub targets: f64,
    /// Teams.
    pub teams: f64,
    /// Keys of all teams.
    pub keys: f64,
    /// Requests a second over all nodes.
    pub requests_per_second: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Nodes that a leader or relay feeds with the log.
    pub fed_by_one: f64,
    /// The share of requests that make a claim.
    pub claim_share: f64,
    /// The most processor time that control may take on a node, as a share of a core.
    pub max_core_share: f64,
    /// The most memory that control may take on a node, in bytes.
    pub max_memory_bytes: f64,
    /// The most that control may send from a node, in bytes a second.
    pub max_bytes_per_second: f64,
}

impl Size {
    /// Today's size: six hosts, thirteen targets, eight teams.
    pub const TODAY: Self = Self {
        nodes: 6.0,
        targets: 13.0,
        teams: 8.0,
        keys: 32.0,
        requests_per_second: 100.0,
        changes_per_day: 50.0,
        fed_by_one: 5.0,
        ..Self::AIM
    };

    /// The size in two years.
    pub const AIM: Self = Self {
        nodes: 390.0,
        targets: 600.0,
        teams: 1_000.0,
        keys: 4_000.0,
        requests_per_second: 8_500.0,
        changes_per_day: 850.0,
        fed_by_one: 389.0,
        claim_share: 0.05,
        max_core_share: 0.024,
        max_memory_bytes: 128.0 * 1024.0 * 1024.0,
        max_bytes_per_second: 8.0 * 1024.0,
    };
}

//! Sizes for which the load is predicted.

/// The size of a deployment, and the limits on what control may use of a node.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of nodes.
    pub nodes: f64,
    /// Number of targets.
    pub targets: f64,
    /// Number of teams.
    pub teams: f64,
    /// Number of API keys of all teams.
    pub keys: f64,
    /// Requests per second, summed over all nodes.
    pub requests_per_second: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Nodes to which a leader or relay replicates the log.
    pub nodes_per_sender: f64,
    /// Share of requests that open a claim: non-idempotent ones with an `Idempotency-Key`.
    pub claim_share: f64,
    /// Maximum processor time of control on a node, as a share of a core.
    pub max_core_share: f64,
    /// Maximum memory of control on a node, in bytes.
    pub max_memory_bytes: f64,
    /// Maximum rate at which control may send from a node, in bytes per second.
    pub max_bytes_per_second: f64,
}

impl Size {
    /// Today's size.
    pub const TODAY: Self = Self {
        nodes: 6.0,
        targets: 13.0,
        teams: 8.0,
        keys: 32.0,
        requests_per_second: 100.0,
        changes_per_day: 50.0,
        nodes_per_sender: 5.0,
        ..Self::PLANNED
    };

    /// The size planned for two years from now.
    pub const PLANNED: Self = Self {
        nodes: 390.0,
        targets: 600.0,
        teams: 1_000.0,
        keys: 4_000.0,
        requests_per_second: 8_500.0,
        changes_per_day: 850.0,
        nodes_per_sender: 389.0,
        claim_share: 0.05,
        max_core_share: 0.024,
        max_memory_bytes: 128.0 * 1024.0 * 1024.0,
        max_bytes_per_second: 8.0 * 1024.0,
    };
}

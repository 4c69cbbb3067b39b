//! Re-exports of the crates that other programs embed.

pub use catkinlatch_base as base;
pub use catkinlatch_fleet as fleet;
pub use catkinlatch_log as log;
pub use catkinlatch_node as node;
pub use catkinlatch_rollout as rollout;
pub use catkinlatch_route as route;
pub use catkinlatch_state as state;
pub use catkinlatch_wire as wire;

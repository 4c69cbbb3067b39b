//! What a process may use of its machine.

use serde::Deserialize;

/// What a process may use of its machine; `None` if it is not limited.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Share of a processor core, as a fraction.
    #[serde(default)]
    pub processor_share: Option<f64>,
    /// Memory in megabytes; the process is killed beyond it.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Number of open files and connections.
    #[serde(default)]
    pub descriptors: Option<u64>,
}

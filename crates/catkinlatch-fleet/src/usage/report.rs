//! The report of a frozen window, which is byte for byte reproducible.

use catkinlatch_base::{HostId, Term, WindowId, derive_schema};
use catkinlatch_state::window::{Correction, Figure, Window};
use sha2::{Digest, Sha256};

derive_schema! {
    /// A usage report as sent to the platform.
    ///
    /// It depends only on the frozen window, so that every leader creates the same bytes.
    pub struct Report {
        /// The id of the window.
        pub window: WindowId,
        /// When the window began, in milliseconds since the Unix epoch.
        pub begin_ms: u64,
        /// When the window ended, in milliseconds since the Unix epoch.
        pub end_ms: u64,
        /// The fencing token: the term of the leader that froze the window.
        pub fence: Term,
        /// The host that froze the window.
        pub reporter: HostId,
        /// The usage in the window, sorted by team and model.
        pub figures: Vec<Figure>,
        /// Usage of earlier windows that was received after they were frozen.
        pub corrections: Vec<Correction>,
    }
}

impl Report {
    /// Creates the report of a frozen window; `length_ms` is the length of all windows.
    pub fn new(id: WindowId, window: &Window, length_ms: u64) -> Self {
        Self {
            window: id,
            begin_ms: id.get() * length_ms,
            end_ms: id.next().get() * length_ms,
            fence: window.term,
            reporter: window.host.clone(),
            figures: window.figures.clone(),
            corrections: window.corrections.clone(),
        }
    }

    /// Returns the report encoded as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a report serializes to JSON")
    }

    /// Returns the SHA-256 hash of the encoded report, as lowercase hexadecimal digits.
    pub fn digest(&self) -> String {
        Sha256::digest(self.to_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

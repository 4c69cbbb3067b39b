//! The report of a frozen window, the same bytes each time it is made.

use catkinlatch_base::{HostId, Term, WindowId, derive_schema};
use catkinlatch_state::window::{Correction, Figure, Window};
use sha2::{Digest, Sha256};

derive_schema! {
    /// A usage report as the platform gets it.
    ///
    /// All of it comes from the frozen window, so that each leader makes the same bytes.
    pub struct Report {
        /// The window.
        pub window: WindowId,
        /// When the window began, in milliseconds since the Unix epoch.
        pub begin_ms: u64,
        /// When it ended, in milliseconds since the Unix epoch.
        pub end_ms: u64,
        /// The fencing number: the term of the leader that froze the window.
        pub fence: Term,
        /// The host that froze the window.
        pub reporter: HostId,
        /// The figures, sorted by team and model.
        pub figures: Vec<Figure>,
        /// Usage of earlier windows that became known late.
        pub corrections: Vec<Correction>,
    }
}

impl Report {
    /// Makes the report of a frozen window whose length is given in milliseconds.
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

    /// Returns the report as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the project's own types serialize")
    }

    /// Returns the SHA-256 of the report's bytes in hexadecimal digits.
    pub fn digest(&self) -> String {
        Sha256::digest(self.to_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

//! Commands that change the replicated state.

use crate::{Job, Outcome, Tally, config::Document, job::Advance};
use catkinlatch_base::{HostId, JobId, ModelId, Version, WindowId, ZoneId, derive_value};
use std::sync::Arc;

derive_value! {
    /// A command of the replicated log, which changes [`crate::State`] when it is applied.
    pub enum Command {
        /// Replaces the configuration if the new version is higher than the current one.
        Configure(Document),
        /// Raises the latest known version of a model's weights; a lower version has no effect.
        RecordVersion {
            /// The model.
            model: ModelId,
            /// The version.
            version: Version,
        },
        /// Accepts a batch job. Idempotent: a job with an id that is already known has no effect.
        Submit(Arc<Job>),
        /// Records the progress of long-running items, so that the next leader can resume them.
        Advance(Vec<Advance>),
        /// Appends the result of an item. Only the first result of an item takes effect.
        Finish {
            /// The job.
            job: JobId,
            /// The result of the item.
            outcome: Arc<Outcome>,
        },
        /// Ends a job early; its results so far are kept.
        End {
            /// The job.
            job: JobId,
        },
        /// Removes a job and its results once the results are past their retention period.
        Forget {
            /// The job.
            job: JobId,
        },
        /// Records the usage counts of processes in windows that are still open.
        Count(Vec<Tally>),
        /// Closes a usage window, which fixes the counts that are reported for it.
        CloseWindow {
            /// The window.
            window: WindowId,
        },
        /// Records that the platform accepted the report of a window.
        WindowReported {
            /// The window.
            window: WindowId,
        },
        /// Marks a host for removal from the replicas, after which it stores no replicated state.
        Retire {
            /// The host.
            host: HostId,
            /// The name of the machine.
            name: String,
        },
        /// Asks that nothing more is sent to the targets of a zone. Idempotent.
        Evacuate {
            /// The zone, which needs no target and no entry in the settings.
            zone: ZoneId,
        },
        /// Ends the evacuation of a zone. Idempotent.
        Restore {
            /// The zone.
            zone: ZoneId,
        },
    }
}

/// About how many bytes a command takes beside its texts.
const COMMAND_BYTES: usize = 128;

/// About how many bytes the count of a team takes.
const COUNT_BYTES: usize = 32;

impl Command {
    /// Returns about how many bytes the command takes.
    pub fn bytes(&self) -> usize {
        let content = match self {
            Self::Configure(document) => document.bytes(),
            Self::Submit(job) => job.bytes(),
            Self::Advance(advances) => {
                advances.iter().map(|advance| advance.progress.bytes()).sum()
            }
            Self::Finish { outcome, .. } => outcome.bytes(),
            Self::Count(tallies) => {
                tallies.iter().map(|tally| tally.counts.len() * COUNT_BYTES).sum()
            }
            Self::RecordVersion { .. }
            | Self::End { .. }
            | Self::Forget { .. }
            | Self::CloseWindow { .. }
            | Self::WindowReported { .. }
            | Self::Retire { .. }
            | Self::Evacuate { .. }
            | Self::Restore { .. } => 0,
        };
        COMMAND_BYTES + content
    }
}

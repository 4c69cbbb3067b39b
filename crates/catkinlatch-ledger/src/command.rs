//! Changes of the replicated state.

use crate::{Counted, Job, Outcome, config::Document, job::Advance};
use catkinlatch_base::{HostId, JobId, ModelId, Version, WindowId, derive_value};
use std::sync::Arc;

derive_value! {
    /// A change of the replicated state.
    pub enum Command {
        /// Takes a configuration, if its version is higher than the one in force.
        Configure(Document),
        /// Records a version of a model's weights.
        NameVersion {
            /// The model.
            model: ModelId,
            /// The version.
            version: Version,
        },
        /// Accepts a batch job, once.
        Submit(Arc<Job>),
        /// Records how far long items have come, for the next leader to go on from.
        Advance(Vec<Advance>),
        /// Lists the result of an item, once.
        Finish {
            /// The job.
            job: JobId,
            /// What became of the item.
            outcome: Arc<Outcome>,
        },
        /// Ends a job.
        End {
            /// The job.
            job: JobId,
        },
        /// Drops a job whose results need no longer be kept.
        Forget {
            /// The job.
            job: JobId,
        },
        /// Records what processes counted so far in windows that are not closed.
        Count(Vec<Counted>),
        /// Fixes what is reported of a usage window, once.
        CloseWindow {
            /// The window.
            window: WindowId,
        },
        /// Records that the report of a window was taken.
        WindowReported {
            /// The window.
            window: WindowId,
        },
        /// Asks that a host hold no state.
        Retire {
            /// The host.
            host: HostId,
            /// The machine's name.
            name: String,
        },
    }
}

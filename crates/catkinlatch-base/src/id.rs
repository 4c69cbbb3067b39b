//! Typed ids: text ids assigned by people or programs, and numeric ids assigned by the system.

use derive_more::{Display, Error};
use std::{convert::Infallible, str::FromStr, sync::Arc};

/// Maximum length of a text id, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// Error of parsing a text id that is empty, too long or has invalid characters.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{kind} id {text:?} is not valid; use 1 to 128 letters, digits or any of - _ . : / @")]
pub struct ParseIdError {
    /// The kind of id that was expected.
    pub kind: &'static str,
    /// The rejected text, truncated to [`MAX_TEXT_BYTES`] characters.
    pub text: String,
}

/// Checks that `text` is a valid text id; `kind` is used for the error only.
fn check_text(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/@".contains(c);
    if !text.is_empty() && text.len() <= MAX_TEXT_BYTES && text.chars().all(plain) {
        return Ok(());
    }
    Err(ParseIdError { kind, text: text.chars().take(MAX_TEXT_BYTES).collect() })
}

macro_rules! text_id {
    ($(#[$doc:meta] $name:ident, $kind:literal;)*) => {$(
        crate::derive_key! {
            #[$doc]
            #[derive(Display)]
            #[serde(try_from = "String")]
            pub struct $name(Arc<str>);
        }

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_text($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }
    )*};
}

macro_rules! number_id {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        crate::derive_key! {
            #[$doc]
            #[derive(Copy, Default, Display, derive_more::FromStr)]
            pub struct $name(u64);
        }

        impl $name {
            /// Creates the id with this number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the id's number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next id in sequence.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

text_id! {
    /// Identifies a host: a machine of the system.
    HostId, "host";
    /// Identifies an availability zone.
    ZoneId, "zone";
    /// Identifies a region, which contains availability zones.
    RegionId, "region";
    /// Identifies a team: the tenant that owns API keys and is billed for usage.
    TeamId, "team";
    /// Identifies a target: a back end that is either a model engine or a plain service.
    TargetId, "target";
    /// Identifies one start of a target's process.
    BootId, "boot";
    /// Public part of an API key.
    KeyId, "key";
    /// Identifies a route.
    RouteId, "route";
    /// Identifies a service, which targets of one kind provide.
    ServiceId, "service";
    /// Identifies a model.
    ModelId, "model";
    /// Identifies a trainer.
    TrainerId, "trainer";
    /// Identifies a group of samples; assigned by the trainer.
    GroupId, "group";
    /// Identifies a batch job.
    JobId, "job";
    /// Identifies a sample.
    SampleId, "sample";
    /// Identifies a request.
    RequestId, "request";
    /// Identifies an order to a target, the platform or the weight store.
    OrderId, "order";
    /// Identifies a price class of targets.
    PriceClassId, "price class";
    /// Identifies a cluster.
    ClusterId, "cluster";
}

number_id! {
    /// Number of committed changes of the replicated state: a position in the control log.
    Revision;
    /// Leader term of the control log; also the fencing token of orders.
    Term;
    /// Number of times that a trainer was assigned a coordinator.
    Epoch;
    /// Version of a model's weights; incremented each time the trainer publishes.
    Version;
    /// Sequence number of a trainer's batch, starting at 1.
    BatchNumber;
    /// Sequence number of a trainer's group, in the order of admission.
    GroupNumber;
    /// Sequence number of a usage window, counted from the Unix epoch.
    WindowId;
    /// Sequence number of an item's run, counted by one leader.
    RunId;
}

crate::derive_key! {
    /// Identifies one start of a node: a random number, persisted if the node has a data folder.
    #[derive(Copy, Display)]
    #[display("{_0:032x}")]
    pub struct Incarnation(u128);
}

crate::derive_key! {
    /// Identifies a build of a target's software: a text that the target chooses, or an empty one.
    #[derive(Default, Display)]
    pub struct BuildId(Arc<str>);
}

impl BuildId {
    /// Creates the id with this text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for BuildId {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

impl Incarnation {
    /// Generates a random nonzero incarnation.
    pub fn generate(random: &mut fastrand::Rng) -> Self {
        Self(random.u128(1..))
    }

    /// Creates the incarnation with this number.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Returns the incarnation's number.
    pub const fn get(self) -> u128 {
        self.0
    }
}

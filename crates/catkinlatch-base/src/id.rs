//! Typed ids: text ids given by people or programs, and numbers counted by the system.

use derive_more::{Display, Error};
use std::{str::FromStr, sync::Arc};

/// The most bytes that a text id may have.
pub const MAX_TEXT_BYTES: usize = 128;

/// Says why a text is not an id.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{kind} id {text:?} is not valid; use 1 to 128 letters, digits or any of - _ . : / @")]
pub struct ParseIdError {
    /// The kind of id that was expected.
    pub kind: &'static str,
    /// The text that was given, cut to the longest id.
    pub text: String,
}

/// Checks that `text` may stand as an id of this kind.
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
            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number that follows.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

text_id! {
    /// Names a host of the system.
    HostId, "host";
    /// Names an availability zone.
    ZoneId, "zone";
    /// Names a region, which holds availability zones.
    RegionId, "region";
    /// Names a team, the tenant to whom keys belong and work is billed.
    TeamId, "team";
    /// Names a back end: a model engine or a plain service.
    TargetId, "target";
    /// Identifies one start of a target's process.
    BootId, "boot";
    /// Names the public part of a key.
    KeyId, "key";
    /// Names a route.
    RouteId, "route";
    /// Names a service, which targets of one kind provide.
    ServiceId, "service";
    /// Names a model.
    ModelId, "model";
    /// Names a trainer.
    TrainerId, "trainer";
    /// Names a group of samples, as given by the trainer.
    GroupId, "group";
    /// Identifies a batch job.
    JobId, "job";
    /// Identifies one sample.
    SampleId, "sample";
    /// Identifies one request.
    RequestId, "request";
    /// Identifies one order to a target, the platform or the weight store.
    OrderId, "order";
    /// Names a price class of targets.
    PriceClassId, "price class";
    /// Identifies a cluster.
    ClusterId, "cluster";
}

number_id! {
    /// Counts committed changes of the replicated state.
    Revision;
    /// Counts leaderships of the control log; also the fencing number of orders.
    Term;
    /// Counts assignments of a trainer's coordinator.
    Epoch;
    /// Counts the weights that a trainer published for a model.
    Version;
    /// Numbers the batches of a trainer from 1.
    BatchNumber;
    /// Numbers the groups of a trainer in the order of their admission.
    GroupNumber;
    /// Numbers usage windows since the Unix epoch.
    WindowId;
    /// Counts the runs of one leader's items.
    RunId;
}

crate::derive_key! {
    /// Identifies one start of a node: drawn at random, kept on disk where there is a data folder.
    #[derive(Copy, Display)]
    #[display("{_0:032x}")]
    pub struct Incarnation(u128);
}

impl Incarnation {
    /// Draws a new incarnation.
    pub fn draw(random: &mut fastrand::Rng) -> Self {
        Self(random.u128(1..))
    }

    /// Wraps a number.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u128 {
        self.0
    }
}

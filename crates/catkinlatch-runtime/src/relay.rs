//! Connections to targets through other hosts of the system.
//!
//! A host that reaches no target itself has another host open the connection and pass bytes on.
//! The host that took a request keeps deciding about it: targets, attempts, limits and deadlines
//! stay with it, and the other host knows nothing of the request. Tunnels are opened only by
//! authenticated hosts, only to known targets, and never through a second host.

mod candidate;
mod client;
mod server;

pub use self::{
    candidate::candidates,
    client::{Client, Error},
    server::Server,
};

use catkinlatch_base::derive_value;
use catkinlatch_route::reach::Setback;
use derive_more::Display;

derive_value! {
    /// Asks another host for a connection to a target.
    pub struct Request {
        /// The target's address as `host:port`.
        pub address: String,
    }
}

derive_value! {
    /// The answer to a [`Request`]. Nothing is sent to the target before [`Answer::Opened`].
    #[derive(Copy, Eq, Display)]
    pub enum Answer {
        /// The connection is open; what follows are its bytes.
        #[display("opened")]
        Opened,
        /// No connection to the target could be opened.
        #[display("it cannot connect to the target")]
        Unreachable,
        /// The host reaches no targets itself.
        #[display("it reaches no targets either")]
        CutOff,
        /// The host relays as many connections as it can.
        #[display("it relays as many connections as it can")]
        Busy,
        /// The host is shutting down.
        #[display("it is shutting down")]
        Draining,
        /// The host knows no target at the address.
        #[display("it knows no target at the address")]
        UnknownTarget,
    }
}

impl Answer {
    /// Returns what the answer says about the host; nothing if it opened the tunnel, or if the
    /// target may be the reason why it did not.
    pub fn setback(self) -> Option<Setback> {
        match self {
            Self::Opened | Self::UnknownTarget | Self::Unreachable => None,
            Self::CutOff | Self::Draining => Some(Setback::Unable),
            Self::Busy => Some(Setback::Busy),
        }
    }
}

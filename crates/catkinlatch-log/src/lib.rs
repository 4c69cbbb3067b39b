//! Replicated control log: a Raft-style consensus state machine without I/O.
//!
//! [`Core`] consumes messages, ticks and storage completions as [`Input`]s and returns the
//! [`Action`]s to perform. It owns no clock, socket, file or thread; [`storage`] provides the files
//! that a driver writes on its behalf.

mod action;
mod core;
mod entry;
mod fault;
mod frame;
mod input;
mod machine;
mod membership;
mod message;
mod peer;
mod settings;
mod snapshot;
pub mod storage;

pub use self::{
    action::{Action, Leaderless, Refusal, Report, Role},
    core::{Core, Redundancy},
    entry::{Entry, Index, Payload},
    fault::Fault,
    frame::{Frame, FrameError, Group},
    input::{Input, Token},
    machine::Machine,
    membership::Membership,
    message::{Append, AppendReply, Chunk, ChunkReply, Echo, Grant, Hello, Message, Vote},
    peer::Peer,
    settings::Settings,
    snapshot::Snapshot,
    storage::{HardState, Restored, Write},
};

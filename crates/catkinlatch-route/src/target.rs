//! Registration of targets, and selection of a target for a request.

mod announcement;
mod table;
mod wanted;

pub use self::{
    announcement::{Announcement, Role},
    table::{Entry, Key, Table},
    wanted::Wanted,
};

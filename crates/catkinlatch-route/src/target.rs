//! The targets that announced themselves, and the choice between them.

mod announcement;
mod table;
mod wanted;

pub use self::{
    announcement::{Announcement, Role},
    table::{Entry, Key, Table},
    wanted::Wanted,
};

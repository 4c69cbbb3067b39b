//! Registration of targets, and selection of a target for a request.

mod announcement;
mod selector;
mod table;

pub use self::{
    announcement::{Announcement, Role},
    selector::Selector,
    table::{Entry, Key, Table},
};

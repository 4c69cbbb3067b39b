//! The sheet: the whole plan of an installation as a spreadsheet exports it.
//!
//! Each row of the CSV text is one team, route, model, trainer, zone or price class; the header
//! names the columns. What the sheet leaves out is to be removed, keys excepted: they belong to
//! teams and go with them.

mod cell;
mod column;
mod danger;
mod diff;
mod read;
mod row;
mod write;

pub use self::{
    column::COLUMNS,
    danger::dangers,
    diff::{Diff, Line},
    write::write,
};

use crate::config::{Subject, Tables};
use catkinlatch_base::Place;
use std::collections::BTreeMap;

/// A sheet without faults of its own.
///
/// ```
/// use catkinlatch_state::sheet::Sheet;
///
/// let sheet = Sheet::parse("plan.csv", b"kind,id,weight\nteam,harbour,3\n").expect("no faults");
/// assert_eq!(sheet.tables().teams.len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Sheet {
    tables: Tables,
    places: Places,
}

/// Where the parts of a sheet stand.
#[derive(Clone, Debug, Default)]
struct Places {
    file: String,
    columns: BTreeMap<String, u32>,
    rows: BTreeMap<Subject, u32>,
}

impl Places {
    /// Returns the place of a part's field; the start of its row if it has no such column.
    fn of(&self, subject: &Subject, field: &str) -> Place {
        let line = self.rows.get(subject).copied().unwrap_or(1);
        let column = self.columns.get(field).copied().unwrap_or(1);
        Place { file: self.file.clone(), line, column }
    }
}

impl Sheet {
    /// Returns the tables that the sheet asks for; they hold no keys.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns where a part's field stands.
    pub fn place(&self, subject: &Subject, field: &str) -> Place {
        self.places.of(subject, field)
    }
}

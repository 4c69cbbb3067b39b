//! Sheets: the complete configuration of an installation as CSV text exported from a spreadsheet.
//!
//! Each row is one team, route, model, trainer, zone or price class; the header names the columns.
//! Applying a sheet removes all parts that it doesn't contain. Keys are not part of a sheet: they
//! are removed with their team.

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

/// A parsed sheet whose tables are valid.
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

/// The rows and columns of the parts of a sheet, from 1.
#[derive(Clone, Debug, Default)]
struct Places {
    file: String,
    columns: BTreeMap<String, u32>,
    rows: BTreeMap<Subject, u32>,
}

impl Places {
    /// Returns the place of a part's field, or the start of its row if there is no such column.
    ///
    /// An unknown part has its place in line 1.
    fn of(&self, subject: &Subject, field: &str) -> Place {
        let line = self.rows.get(subject).copied().unwrap_or(1);
        let column = self.columns.get(field).copied().unwrap_or(1);
        Place { file: self.file.clone(), line, column }
    }
}

impl Sheet {
    /// Returns the tables that the sheet describes, without keys.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the place of a part's field, or the start of its row if there is no such column.
    pub fn place(&self, subject: &Subject, field: &str) -> Place {
        self.places.of(subject, field)
    }
}

//! The columns of a sheet, and its header row.

use super::cell::nearest;
use catkinlatch_base::{Findings, Place};
use std::collections::BTreeMap;

/// All known columns, in the order in which they are written.
pub const COLUMNS: [&str; 29] = [
    "kind",
    "id",
    "weight",
    "concurrency",
    "requests_per_minute",
    "tokens_per_minute",
    "budget_tokens_per_window",
    "budget_refuses",
    "team",
    "model",
    "trainer",
    "scorer",
    "batch_samples",
    "max_age_versions",
    "version",
    "live_floor",
    "zones",
    "open",
    "idempotent",
    "max_request_bytes",
    "max_answer_bytes",
    "deadline_ms",
    "region",
    "in_use",
    "price_per_hour",
    "may_vanish",
    "note",
    "owner",
    "comment",
];

/// Columns for free text by the authors of a sheet, which are neither read nor written.
pub const IGNORED_COLUMNS: [&str; 3] = ["note", "owner", "comment"];

/// The index of each column that a sheet has, from 0.
#[derive(Clone, Debug, Default)]
pub struct Header {
    columns: BTreeMap<&'static str, usize>,
}

impl Header {
    /// Parses the header row; reports unknown, duplicate and missing columns.
    pub fn new<'a>(
        cells: impl Iterator<Item = &'a str>,
        place: impl Fn(usize) -> Place,
        findings: &mut Findings,
    ) -> Self {
        let mut columns = BTreeMap::new();
        for (index, cell) in cells.enumerate() {
            let name = cell.trim().to_lowercase().replace([' ', '-'], "_");
            if name.is_empty() {
                continue;
            }
            let Some(column) = COLUMNS.into_iter().find(|column| *column == name) else {
                let hint = match nearest(&name, COLUMNS) {
                    Some(near) => format!("did you mean {near:?}?"),
                    None => format!("use any of {}", COLUMNS.join(", ")),
                };
                findings.add(place(index), format!("unknown column {cell:?}"), hint);
                continue;
            };
            if columns.insert(column, index).is_some() && !IGNORED_COLUMNS.contains(&column) {
                let text = format!("the column {column:?} is there twice");
                findings.add(place(index), text, "keep one of them");
            }
        }
        for column in ["kind", "id"].into_iter().filter(|column| !columns.contains_key(column)) {
            let text = format!("the column {column:?} is missing");
            findings.add(place(0), text, "name it in the first row");
        }
        Self { columns }
    }

    /// Returns the index of a column, or `None` if the sheet doesn't have it.
    pub fn index(&self, column: &str) -> Option<usize> {
        self.columns.get(column).copied()
    }

    /// Returns all columns with their indices.
    pub fn columns(&self) -> impl Iterator<Item = (&'static str, usize)> {
        self.columns.iter().map(|(name, index)| (*name, *index))
    }
}

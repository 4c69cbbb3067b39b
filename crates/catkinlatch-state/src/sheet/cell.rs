//! The cells of one row, read as typed values.

use super::column::{Header, IGNORED};
use catkinlatch_base::{Findings, Place};
use std::{collections::BTreeSet, fmt::Display, str::FromStr};

/// How many thousandths a price has.
const THOUSANDTHS: u64 = 1_000;

/// The most edits by which a name may differ from what was meant.
const MAX_EDITS: usize = 3;

/// The cells of one row.
pub struct Cells<'a> {
    /// The columns.
    pub header: &'a Header,
    /// The cells, in the order of the columns.
    pub cells: Vec<&'a str>,
    /// The file.
    pub file: &'a str,
    /// The row, from 1.
    pub row: u32,
    /// Where faults go.
    pub findings: &'a mut Findings,
    /// The columns that were read.
    pub read: BTreeSet<&'static str>,
}

impl<'a> Cells<'a> {
    /// Returns the text of a cell; an absent cell is empty.
    pub fn text(&mut self, column: &'static str) -> &'a str {
        self.read.insert(column);
        let cell = self.header.index(column).and_then(|index| self.cells.get(index));
        cell.map_or("", |cell| cell.trim())
    }

    /// Adds a finding about a cell.
    pub fn find(&mut self, column: &str, text: impl Into<String>, hint: impl Into<String>) {
        let index = self.header.index(column).unwrap_or_default();
        let column = u32::try_from(index + 1).unwrap_or(u32::MAX);
        let place = Place { file: self.file.to_owned(), line: self.row, column };
        self.findings.add(place, text, hint);
    }

    /// Reads a cell that may be empty.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, column: &'static str) -> Option<T> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let text = format!("{column} {text:?} is not valid: {error}");
                self.find(column, text, "write it without spaces or thousands separators");
                None
            }
        }
    }

    /// Reads a cell that must not be empty.
    pub fn required<T: FromStr<Err: Display>>(&mut self, column: &'static str) -> Option<T> {
        if self.text(column).is_empty() {
            let text = format!("{column} is empty");
            self.find(column, text, "fill the cell");
            return None;
        }
        self.optional(column)
    }

    /// Reads yes or no; an empty cell means `default`.
    pub fn flag(&mut self, column: &'static str, default: bool) -> bool {
        let text = self.text(column);
        match text.to_lowercase().as_str() {
            "" => default,
            "true" | "yes" | "1" => true,
            "false" | "no" | "0" => false,
            _ => {
                self.find(column, format!("{column} {text:?} is not valid"), "write yes or no");
                default
            }
        }
    }

    /// Reads names that are separated by spaces.
    pub fn list<T: FromStr<Err: Display>>(&mut self, column: &'static str) -> Vec<T> {
        let mut values = Vec::new();
        for word in self.text(column).split_whitespace() {
            match word.parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    let text = format!("{column}: {error}");
                    self.find(column, text, "separate the names by spaces");
                }
            }
        }
        values
    }

    /// Reads an amount of money with at most three decimals, in thousandths.
    pub fn thousandths(&mut self, column: &'static str) -> u64 {
        let text = self.text(column);
        let (whole, part) = text.split_once(['.', ',']).unwrap_or((text, "0"));
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let amount = whole.parse::<u64>().ok().filter(|_| digits(whole) && digits(part));
        let part = format!("{part:0<3}").parse::<u64>().ok().filter(|part| *part < THOUSANDTHS);
        let total = amount.and_then(|whole| whole.checked_mul(THOUSANDTHS)?.checked_add(part?));
        total.unwrap_or_else(|| {
            let text = format!("{column} {text:?} is not an amount");
            self.find(column, text, "write a number with at most three decimals, such as 2.50");
            0
        })
    }

    /// Reports cells that do not belong to this kind of row.
    pub fn finish(&mut self, kind: &str) {
        let columns: Vec<_> = self.header.columns().collect();
        for (column, index) in columns {
            let filled = self.cells.get(index).is_some_and(|cell| !cell.trim().is_empty());
            if filled && !self.read.contains(column) && !IGNORED.contains(&column) {
                let text = format!("{column} does not apply to a {kind}");
                self.find(column, text, "empty the cell");
            }
        }
        let width = columns_width(self.header);
        let beyond = self.cells.iter().skip(width).any(|cell| !cell.trim().is_empty());
        if beyond {
            let text = "the row has cells beyond the header";
            self.find("kind", text, "quote cells that hold a separator, or name the column");
        }
    }
}

fn columns_width(header: &Header) -> usize {
    header.columns().map(|(_, index)| index + 1).max().unwrap_or_default()
}

/// Returns the name that differs least from `given`, if one is near enough.
pub fn nearest<'a>(given: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    catkinlatch_base::nearest(given, names, MAX_EDITS)
}

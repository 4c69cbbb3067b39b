//! Reads the cells of a row as typed values.

use super::column::{Header, IGNORED_COLUMNS};
use catkinlatch_base::{Findings, Place};
use std::{collections::BTreeSet, fmt::Display, str::FromStr};

/// Factor from currency units to thousandths.
const THOUSANDTHS_PER_UNIT: u64 = 1_000;

/// Maximum edit distance between an unknown name and a suggested one.
const MAX_EDIT_DISTANCE: usize = 3;

/// The cells of a row, with the findings about them.
pub struct Cells<'a> {
    /// Columns of the sheet.
    pub header: &'a Header,
    /// Text of the cells, in the order of the columns.
    pub cells: Vec<&'a str>,
    /// File name for findings.
    pub file: &'a str,
    /// Row number, from 1.
    pub row: u32,
    /// Findings about the sheet so far.
    pub findings: &'a mut Findings,
    /// Columns that were read for this kind of row.
    pub read_columns: BTreeSet<&'static str>,
}

impl<'a> Cells<'a> {
    /// Returns the trimmed text of a cell; an absent cell is empty.
    pub fn text(&mut self, column: &'static str) -> &'a str {
        self.read_columns.insert(column);
        let cell = self.header.index(column).and_then(|index| self.cells.get(index));
        cell.map_or("", |cell| cell.trim())
    }

    /// Adds a finding about a cell.
    pub fn report(&mut self, column: &str, text: impl Into<String>, hint: impl Into<String>) {
        let index = self.header.index(column).unwrap_or_default();
        let column = u32::try_from(index + 1).unwrap_or(u32::MAX);
        let place = Place { file: self.file.to_owned(), line: self.row, column };
        self.findings.add(place, text, hint);
    }

    /// Parses a cell; returns `None` if it is empty or invalid, and reports an invalid one.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, column: &'static str) -> Option<T> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let text = format!("{column} {text:?} is not valid: {error}");
                self.report(column, text, "write it without spaces or thousands separators");
                None
            }
        }
    }

    /// Parses a cell; returns `None` and reports it if it is empty or invalid.
    pub fn required<T: FromStr<Err: Display>>(&mut self, column: &'static str) -> Option<T> {
        if self.text(column).is_empty() {
            let text = format!("{column} is empty");
            self.report(column, text, "fill the cell");
            return None;
        }
        self.optional(column)
    }

    /// Parses a Boolean cell; returns `default` if it is empty or invalid, and reports an invalid
    /// one.
    pub fn flag(&mut self, column: &'static str, default: bool) -> bool {
        let text = self.text(column);
        match text.to_lowercase().as_str() {
            "" => default,
            "true" | "yes" | "1" => true,
            "false" | "no" | "0" => false,
            _ => {
                self.report(column, format!("{column} {text:?} is not valid"), "write yes or no");
                default
            }
        }
    }

    /// Parses a list of names that are separated by spaces; reports invalid ones and leaves them
    /// out.
    pub fn list<T: FromStr<Err: Display>>(&mut self, column: &'static str) -> Vec<T> {
        let mut values = Vec::new();
        for word in self.text(column).split_whitespace() {
            match word.parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    let text = format!("{column}: {error}");
                    self.report(column, text, "separate the names by spaces");
                }
            }
        }
        values
    }

    /// Parses a price with at most three decimals, in thousandths of the currency unit.
    ///
    /// Returns 0 and reports the cell if it is empty or invalid.
    pub fn thousandths(&mut self, column: &'static str) -> u64 {
        let text = self.text(column);
        let (whole, part) = text.split_once(['.', ',']).unwrap_or((text, "0"));
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let amount = whole.parse::<u64>().ok().filter(|_| digits(whole) && digits(part));
        let part =
            format!("{part:0<3}").parse::<u64>().ok().filter(|part| *part < THOUSANDTHS_PER_UNIT);
        let total =
            amount.and_then(|whole| whole.checked_mul(THOUSANDTHS_PER_UNIT)?.checked_add(part?));
        total.unwrap_or_else(|| {
            let text = format!("{column} {text:?} is not an amount");
            self.report(column, text, "write a number with at most three decimals, such as 2.50");
            0
        })
    }

    /// Reports non-empty cells that do not apply to this kind of row or are beyond the header.
    pub fn report_unused(&mut self, kind: &str) {
        let columns: Vec<_> = self.header.columns().collect();
        for (column, index) in columns {
            let filled = self.cells.get(index).is_some_and(|cell| !cell.trim().is_empty());
            if filled && !self.read_columns.contains(column) && !IGNORED_COLUMNS.contains(&column) {
                let text = format!("{column} does not apply to a {kind}");
                self.report(column, text, "empty the cell");
            }
        }
        let width = header_width(self.header);
        let beyond = self.cells.iter().skip(width).any(|cell| !cell.trim().is_empty());
        if beyond {
            let text = "the row has cells beyond the header";
            self.report("kind", text, "quote cells that hold a separator, or name the column");
        }
    }
}

fn header_width(header: &Header) -> usize {
    header.columns().map(|(_, index)| index + 1).max().unwrap_or_default()
}

/// Returns the name with the smallest edit distance to `given`, if one is close enough.
pub fn nearest<'a>(given: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    catkinlatch_base::nearest(given, names, MAX_EDIT_DISTANCE)
}

//! Parses the CSV text of a sheet.

use super::{Places, Sheet, cell::Cells, column::Header, row};
use crate::config::{Subject, Tables, validation};
use catkinlatch_base::{Findings, Place};
use csv::{ByteRecord, ReaderBuilder};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum size of a sheet, in bytes.
const MAX_SHEET_BYTES: usize = 16 << 20;

/// UTF-8 byte order mark, which some spreadsheet programs write first.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// The text of a row, with its number from 1.
struct Row {
    number: u32,
    cells: Vec<String>,
}

impl Sheet {
    /// Parses a sheet and validates its tables; `file` is only used to name places in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, sorted by place.
    pub fn parse(file: &str, bytes: &[u8]) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let rows = rows(file, bytes, &mut findings);
        let Some((first, rest)) = rows.split_first() else {
            if findings.is_empty() {
                let place = Place { file: file.to_owned(), line: 1, column: 1 };
                findings.add(place, "the sheet is empty", "export the sheet with its header row");
            }
            return Err(findings);
        };
        let place = |index: usize| place_at(file, first.number, index);
        let header = Header::new(first.cells.iter().map(String::as_str), place, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let (tables, rows) = read_rows(file, &header, rest, &mut findings);
        let column = |(name, index): (&str, usize)| (name.to_owned(), saturating_u32(index + 1));
        let columns = header.columns().map(column).collect();
        let places = Places { file: file.to_owned(), columns, rows };
        for fault in validation::tables(&tables) {
            // A row that could not be read already has findings of its own.
            if findings.is_empty() || places.rows.contains_key(&fault.subject) {
                let text = format!("{}: {}", fault.subject, fault.text);
                findings.add(places.of(&fault.subject, &fault.field), text, fault.hint);
            }
        }
        findings.sort();
        findings.into_result(Self { tables, places })
    }
}

/// Reads the rows below the header into tables, and returns the row number of each part.
fn read_rows(
    file: &str,
    header: &Header,
    rows: &[Row],
    findings: &mut Findings,
) -> (Tables, BTreeMap<Subject, u32>) {
    let mut tables = Tables::default();
    let mut places = BTreeMap::new();
    for row in rows {
        let cells = row.cells.iter().map(String::as_str).collect();
        let read_columns = BTreeSet::new();
        let mut cells =
            Cells { header, cells, file, row: row.number, findings: &mut *findings, read_columns };
        let Some(edit) = row::read(&mut cells) else { continue };
        let subject = edit.subject();
        if let Some(earlier) = places.insert(subject.clone(), row.number) {
            let text = format!("{subject} is also in row {earlier}");
            cells.report("id", text, "keep one of the rows");
        }
        tables.edit(&edit);
    }
    (tables, places)
}

/// Splits the text into non-empty rows, numbered as in a spreadsheet.
fn rows(file: &str, bytes: &[u8], findings: &mut Findings) -> Vec<Row> {
    if bytes.len() > MAX_SHEET_BYTES {
        let text = format!("the sheet has {} bytes; the most is {MAX_SHEET_BYTES}", bytes.len());
        findings.add(place_at(file, 1, 0), text, "export only the rows of the plan");
        return Vec::new();
    }
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let (bytes, skipped) = match bytes.strip_prefix(b"sep=") {
        Some(rest) => (&rest[rest.len().min(2)..], 1),
        None => (bytes, 0),
    };
    let delimiter = delimiter(bytes);
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter)
        .has_headers(false)
        .flexible(true)
        .from_reader(bytes);
    let mut rows = Vec::new();
    // Line breaks inside quoted cells, which don't count as rows.
    let mut inner_breaks = 0;
    let mut record = ByteRecord::new();
    while let Ok(true) = reader.read_byte_record(&mut record) {
        let line = record.position().map_or(1, csv::Position::line);
        let line = usize::try_from(line).unwrap_or(usize::MAX);
        let row = saturating_u32(line + skipped - inner_breaks.min(line - 1));
        inner_breaks +=
            record.iter().map(|cell| cell.iter().filter(|b| **b == b'\n').count()).sum::<usize>();
        let mut cells = Vec::new();
        for (index, cell) in record.iter().enumerate() {
            match str::from_utf8(cell) {
                Ok(text) => cells.push(text.to_owned()),
                Err(_) => {
                    let hint = "export the sheet as CSV in UTF-8";
                    findings.add(place_at(file, row, index), "the cell is not UTF-8 text", hint);
                    cells.push(String::new());
                }
            }
        }
        if cells.iter().any(|cell| !cell.trim().is_empty()) {
            rows.push(Row { number: row, cells });
        }
    }
    rows
}

/// Returns the more frequent one of `;` and `,` in the first non-empty line; `,` on a tie.
fn delimiter(bytes: &[u8]) -> u8 {
    let first = bytes.split(|byte| *byte == b'\n').find(|line| !line.is_empty());
    let count = |wanted: u8| first.unwrap_or_default().iter().filter(|b| **b == wanted).count();
    if count(b';') > count(b',') { b';' } else { b',' }
}

fn place_at(file: &str, row: u32, index: usize) -> Place {
    Place { file: file.to_owned(), line: row, column: saturating_u32(index + 1) }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

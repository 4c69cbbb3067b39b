//! Reads the text of a sheet.

use super::{Places, Sheet, cell::Cells, column::Header, row};
use crate::config::{Subject, Tables, validation};
use catkinlatch_base::{Findings, Place};
use csv::{ByteRecord, ReaderBuilder};
use std::collections::{BTreeMap, BTreeSet};

/// The longest sheet, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// The mark that some programs put before UTF-8 text.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// One row as text.
struct Row {
    number: u32,
    cells: Vec<String>,
}

impl Sheet {
    /// Reads a sheet, or returns all that is wrong with it.
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
        let place = |index: usize| at(file, first.number, index);
        let header = Header::new(first.cells.iter().map(String::as_str), place, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let (tables, rows) = read_rows(file, &header, rest, &mut findings);
        let column = |(name, index): (&str, usize)| (name.to_owned(), number(index + 1));
        let columns = header.columns().map(column).collect();
        let places = Places { file: file.to_owned(), columns, rows };
        for fault in validation::tables(&tables) {
            // A row that could not be read is reported where it stands.
            if findings.is_empty() || places.rows.contains_key(&fault.subject) {
                let text = format!("{}: {}", fault.subject, fault.text);
                findings.add(places.of(&fault.subject, &fault.field), text, fault.hint);
            }
        }
        findings.sort();
        findings.into_result(Self { tables, places })
    }
}

/// Reads the rows below the header into tables and notes where each part stands.
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
        let read = BTreeSet::new();
        let mut cells =
            Cells { header, cells, file, row: row.number, findings: &mut *findings, read };
        let Some(edit) = row::read(&mut cells) else { continue };
        let subject = edit.subject();
        if let Some(earlier) = places.insert(subject.clone(), row.number) {
            let text = format!("{subject} is also in row {earlier}");
            cells.find("id", text, "keep one of the rows");
        }
        tables.edit(&edit);
    }
    (tables, places)
}

/// Splits the text into rows with their numbers as a spreadsheet shows them.
fn rows(file: &str, bytes: &[u8], findings: &mut Findings) -> Vec<Row> {
    if bytes.len() > MAX_BYTES {
        let text = format!("the sheet has {} bytes; the most is {MAX_BYTES}", bytes.len());
        findings.add(at(file, 1, 0), text, "export only the rows of the plan");
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
    // Line breaks inside quoted cells do not begin a new row.
    let mut inner_breaks = 0;
    let mut record = ByteRecord::new();
    while let Ok(true) = reader.read_byte_record(&mut record) {
        let line = record.position().map_or(1, csv::Position::line);
        let line = usize::try_from(line).unwrap_or(usize::MAX);
        let row = number(line + skipped - inner_breaks.min(line - 1));
        inner_breaks +=
            record.iter().map(|cell| cell.iter().filter(|b| **b == b'\n').count()).sum::<usize>();
        let mut cells = Vec::new();
        for (index, cell) in record.iter().enumerate() {
            match str::from_utf8(cell) {
                Ok(text) => cells.push(text.to_owned()),
                Err(_) => {
                    let hint = "export the sheet as CSV in UTF-8";
                    findings.add(at(file, row, index), "the cell is not UTF-8 text", hint);
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

/// Tells from the first line whether cells are separated by `;` or `,`.
fn delimiter(bytes: &[u8]) -> u8 {
    let first = bytes.split(|byte| *byte == b'\n').find(|line| !line.is_empty());
    let count = |wanted: u8| first.unwrap_or_default().iter().filter(|b| **b == wanted).count();
    if count(b';') > count(b',') { b';' } else { b',' }
}

fn at(file: &str, row: u32, index: usize) -> Place {
    Place { file: file.to_owned(), line: row, column: number(index + 1) }
}

fn number(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

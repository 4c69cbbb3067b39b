//! Measures the resident memory of this process.

use std::{fs, io};

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/self/statm` cannot be read or parsed.
pub fn resident_bytes() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    pages
        .map(|pages| pages * PAGE_BYTES)
        .ok_or_else(|| io::Error::other("/proc/self/statm has no resident size"))
}

/// Returns the memory that each of the `count` entries of a value takes, in bytes.
///
/// The value is leaked, so that the next measurement does not reuse its memory. Memory that is
/// freed while the value is built counts as well, so the result is an upper bound.
///
/// # Errors
///
/// Returns an error if the resident memory cannot be read.
pub fn bytes_per_entry<T>(count: usize, build: impl FnOnce() -> T) -> io::Result<f64> {
    let before = resident_bytes()?;
    let value = build();
    let after = resident_bytes()?;
    std::mem::forget(value);
    Ok((after - before).max(0.0) / count as f64)
}

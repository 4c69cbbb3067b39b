//! The memory that this process holds.

use std::{fs, io};

/// Bytes of one page of memory.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the bytes that this process holds in memory.
pub fn resident_bytes() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.map(|pages| pages * PAGE_BYTES).ok_or_else(|| io::Error::other("statm has no field"))
}

/// Returns the bytes that each of `count` parts of a value takes.
///
/// The value is kept for good, so that its memory does not serve the next measurement. What building
/// it leaves free counts as well, so the figure is an upper bound.
pub fn bytes_each<T>(count: usize, build: impl FnOnce() -> T) -> io::Result<f64> {
    let before = resident_bytes()?;
    let value = build();
    let after = resident_bytes()?;
    std::mem::forget(value);
    Ok((after - before).max(0.0) / count as f64)
}

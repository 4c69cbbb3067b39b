//! Small files that are replaced as a whole.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::Path,
};

/// Replaces a file; after a loss of power it holds either the old or the new content.
///
/// # Errors
///
/// Returns an error if the file cannot be written; an earlier one then remains.
pub fn replace(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    File::open(path.parent().unwrap_or(Path::new(".")))?.sync_all()
}

//! File operations that survive a power loss.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

/// Replaces a file atomically: after a power loss it holds either the old or the new content.
pub fn replace(path: &Path, content: &[u8]) -> io::Result<File> {
    let temporary = temporary(path);
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    sync_folder(path)?;
    Ok(file)
}

/// Opens a file for reading, or returns `None` if it does not exist.
pub fn open(path: &Path) -> io::Result<Option<File>> {
    match File::open(path) {
        Ok(file) => Ok(Some(file)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Syncs the folder that contains `path`, so that the file's directory entry is durable.
pub fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

fn temporary(path: &Path) -> PathBuf {
    path.with_extension("new")
}

//! Operations on files and folders.

use derive_more::Debug;
use std::{
    fs::{self, File},
    io::{self, Seek as _, SeekFrom, Write as _},
    path::{Path, PathBuf},
    sync::Arc,
};

/// A change to the files and folders, as it reaches the operating system.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// A folder was created, possibly below a missing one.
    CreateFolder(&'a Path),
    /// A file was opened for writing, and created if it was missing.
    CreateFile(&'a Path),
    /// Bytes were written.
    Write {
        /// The file.
        path: &'a Path,
        /// Offset of the first byte in the file.
        offset: u64,
        /// The bytes.
        bytes: &'a [u8],
    },
    /// The length of a file was set.
    SetLength {
        /// The file.
        path: &'a Path,
        /// New length in bytes.
        length: u64,
    },
    /// The content of a file was synced.
    SyncFile(&'a Path),
    /// The names in a folder were synced.
    SyncFolder(&'a Path),
    /// A file or folder was renamed, replacing any file of the new name.
    Rename {
        /// Old path.
        from: &'a Path,
        /// New path.
        to: &'a Path,
    },
    /// A file or an empty folder was removed.
    Remove(&'a Path),
}

type Observer = dyn Fn(Change<'_>) + Send + Sync;

/// Access to files and folders.
#[derive(Clone, Debug, Default)]
pub struct Files {
    #[debug(skip)]
    observer: Option<Arc<Observer>>,
}

impl Files {
    /// Creates access to the files of the operating system.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reports all changes to a model of a disk. Syncs are not executed but only reported.
    pub fn with_model(mut self, observer: impl Fn(Change<'_>) + Send + Sync + 'static) -> Self {
        self.observer = Some(Arc::new(observer));
        self
    }

    /// Creates a folder durably, and all missing folders above it.
    ///
    /// An existing folder is made durable as well, since an earlier process may have ended before it
    /// had synced the name. Existing folders above it are taken as durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn create_folder(&self, path: &Path) -> io::Result<()> {
        if !path.is_dir() {
            let above = folder_of(path);
            if !above.is_dir() {
                self.create_folder(above)?;
            }
            fs::create_dir(path)?;
            self.report(Change::CreateFolder(path));
        }
        self.sync_folder(folder_of(path))
    }

    /// Renames a file or folder durably, within its folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)?;
        self.report(Change::Rename { from, to });
        self.sync_folder(folder_of(to))
    }

    /// Removes a folder and all that it contains, durably.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn remove_folder(&self, path: &Path) -> io::Result<()> {
        // A folder whose new name is not durable could return under its old one, half empty.
        self.sync_folder(folder_of(path))?;
        for entry in fs::read_dir(path)? {
            let entry = entry?;
            let path = entry.path();
            if entry.file_type()?.is_dir() {
                self.remove_folder(&path)?;
            } else {
                fs::remove_file(&path)?;
                self.report(Change::Remove(&path));
            }
        }
        fs::remove_dir(path)?;
        self.report(Change::Remove(path));
        self.sync_folder(folder_of(path))
    }

    /// Opens a file for writing at its end, after its length was set to `length`.
    pub(super) fn append(&self, path: &Path, length: u64) -> io::Result<Handle> {
        let mut file = File::options().create(true).truncate(false).write(true).open(path)?;
        self.report(Change::CreateFile(path));
        file.set_len(length)?;
        self.report(Change::SetLength { path, length });
        file.seek(SeekFrom::Start(length))?;
        Ok(Handle { files: self.clone(), path: path.into(), file, length })
    }

    /// Replaces a file atomically: after a power loss it holds either the old or the new content.
    pub(super) fn replace(&self, path: &Path, content: &[u8]) -> io::Result<Handle> {
        self.replace_with(path, |handle| handle.write(content))
    }

    /// Like [`Self::replace`], but `write` writes the content.
    pub(super) fn replace_with(
        &self,
        path: &Path,
        write: impl FnOnce(&mut Handle) -> io::Result<()>,
    ) -> io::Result<Handle> {
        let temporary = path.with_extension("new");
        let mut handle = self.append(&temporary, 0)?;
        write(&mut handle)?;
        handle.sync_all()?;
        self.rename(&temporary, path)?;
        Ok(Handle { path: path.into(), ..handle })
    }

    /// Makes all names in a folder durable.
    pub(super) fn sync_folder(&self, path: &Path) -> io::Result<()> {
        self.sync(Change::SyncFolder(path), || File::open(path)?.sync_all())
    }

    fn sync(&self, change: Change<'_>, sync: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        if self.observer.is_none() {
            sync()?;
        }
        self.report(change);
        Ok(())
    }

    fn report(&self, change: Change<'_>) {
        if let Some(observer) = &self.observer {
            observer(change);
        }
    }
}

/// A file that is open for writing at its end.
#[derive(Debug)]
pub struct Handle {
    files: Files,
    path: PathBuf,
    file: File,
    length: u64,
}

impl Handle {
    /// Returns the length in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.files.report(Change::Write { path: &self.path, offset: self.length, bytes });
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Makes content and length durable.
    pub fn sync_data(&self) -> io::Result<()> {
        self.files.sync(Change::SyncFile(&self.path), || self.file.sync_data())
    }

    /// Makes content and metadata durable.
    pub fn sync_all(&self) -> io::Result<()> {
        self.files.sync(Change::SyncFile(&self.path), || self.file.sync_all())
    }
}

/// Opens a file for reading, or returns `None` if it does not exist.
pub fn open(path: &Path) -> io::Result<Option<File>> {
    match File::open(path) {
        Ok(file) => Ok(Some(file)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Returns the folder that contains a file or folder.
fn folder_of(path: &Path) -> &Path {
    path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."))
}

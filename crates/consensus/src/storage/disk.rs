//! File operations of the store in one folder.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

/// File operations of the store. File names are relative to its folder.
///
/// File content is durable after `sync`, and file names are durable after `sync_folder`. Tests
/// implement this trait to inject faults.
pub trait Disk: Send {
    /// Lists the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to a file. On an error, a part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file and replaces an existing file `to`.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all creations, renames and removals of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Name of the file whose lock marks the folder as in use by a process.
const LOCK_FILE: &str = "lock";

/// A folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    files: BTreeMap<String, File>,
    _lock: File,
}

impl Folder {
    /// Creates the folder if it does not exist and locks it. Returns a `WouldBlock` error if
    /// another process has locked it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock()?;
        Ok(Self { path: path.to_owned(), files: BTreeMap::new(), _lock: lock })
    }

    /// Returns the file opened in append mode. Opens it on first use.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.files.insert(name.to_owned(), file);
        }
        self.files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.remove(from);
        self.files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

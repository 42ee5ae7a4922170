//! An in-memory disk with fault injection.

use std::collections::BTreeMap;
use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::Rng;
use rand::RngExt;

use crate::storage::Disk;

#[derive(Clone, Debug, Default)]
struct File {
    data: Vec<u8>,
    /// Content as of the last sync.
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct DiskState {
    files: BTreeMap<u64, File>,
    /// File numbers by current name.
    names: BTreeMap<String, u64>,
    /// File numbers by name as of the last folder sync.
    synced_names: BTreeMap<String, u64>,
    /// Number of files created so far.
    created: u64,
    capacity: Option<usize>,
    refuses_changes: bool,
    fail_syncs: bool,
    /// Number of modifying operations until all of them fail.
    operations_left: Option<u64>,
}

/// An in-memory disk. Clones share their content.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<DiskState>>);

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the capacity in bytes. Writes beyond it fail with `StorageFull`.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.state().capacity = bytes;
    }

    /// Sets whether every creation, write, truncation, renaming and removal fails with `StorageFull`.
    pub fn set_refuses_changes(&self, refuses: bool) {
        self.state().refuses_changes = refuses;
    }

    /// Sets whether syncs fail. A failed sync drops the unsynced content, as some operating systems
    /// do.
    pub fn set_fail_syncs(&self, fail: bool) {
        self.state().fail_syncs = fail;
    }

    /// Makes all modifying operations after the next `count` ones fail, as if the machine had
    /// stopped.
    pub fn stop_after(&self, count: u64) {
        self.state().operations_left = Some(count);
    }

    /// Simulates a crash of the machine. A prefix of random length of each file's unsynced content
    /// is kept.
    pub fn crash(&self, random: &mut impl Rng) {
        let mut state = self.state();
        state.operations_left = None;
        state.names = state.synced_names.clone();
        for file in state.files.values_mut() {
            let kept = file.data.len().saturating_sub(file.synced.len());
            let kept = random.random_range(0..=kept);
            file.data.truncate(file.synced.len() + kept);
            file.synced = file.data.clone();
        }
    }

    /// Sorted names of all files.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Total size of all files in bytes.
    pub fn size(&self) -> usize {
        let state = self.state();
        state.names.values().map(|number| state.files[number].data.len()).sum()
    }

    /// Modifies a file in place and makes the change durable. No configured fault applies.
    pub fn edit(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        if let Some(file) = state.names.get(name).copied().and_then(|at| state.files.get_mut(&at)) {
            change(&mut file.data);
            file.synced = file.data.clone();
        }
    }
}

impl DiskState {
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let number = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        self.files.get_mut(number).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change_allowed(&mut self) -> io::Result<()> {
        self.write_allowed()?;
        if self.refuses_changes { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn write_allowed(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(ErrorKind::Other.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Disk for MemoryDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.state().file(name).map(|file| file.data.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.change_allowed()?;
        state.created += 1;
        let number = state.created;
        state.files.insert(number, File::default());
        state.names.insert(name.to_owned(), number);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let size = self.size();
        let mut state = self.state();
        state.change_allowed()?;
        let space = state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(size));
        let written = bytes.len().min(space);
        state.file(name)?.data.extend_from_slice(&bytes[..written]);
        if written < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.write_allowed()?;
        let fail = state.fail_syncs;
        let file = state.file(name)?;
        if fail {
            file.data = file.synced.clone();
            return Err(ErrorKind::Other.into());
        }
        // Synced content never changes in place, so only the appended bytes are copied.
        file.synced.extend_from_slice(&file.data[file.synced.len()..]);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.change_allowed()?;
        let file = state.file(name)?;
        file.data.truncate(length as usize);
        file.synced.truncate(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.change_allowed()?;
        let number = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), number);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.change_allowed()?;
        state.names.remove(name).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.write_allowed()?;
        if state.fail_syncs {
            return Err(ErrorKind::Other.into());
        }
        state.synced_names = state.names.clone();
        let DiskState { files, names, .. } = &mut *state;
        files.retain(|number, _| names.values().any(|other| other == number));
        Ok(())
    }
}

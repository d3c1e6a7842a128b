//! The disk of a simulated controller: the real log file in a simulated folder.
#![deny(missing_docs)]

use super::folder::{Files, SimFolder};
use crate::kernel::disk::{Disk, LogFile};
use crate::kernel::fault::Fault;
use crate::kernel::folder::Folder;
use crate::kernel::log_format::{self, Content};
use crate::kernel::rand::{Rand, SeededRandom};
use crate::msg::Record;
use std::sync::{Arc, Mutex, MutexGuard};

/// The disk of one machine; clones are the same disk.
#[derive(Clone)]
pub struct SimDisk {
    folder: SimFolder,
    log: Arc<Mutex<LogFile>>,
}

impl Default for SimDisk {
    fn default() -> SimDisk {
        let folder = SimFolder::default();
        let log = LogFile::inside(Box::new(folder.clone()));
        SimDisk { folder, log: Arc::new(Mutex::new(log)) }
    }
}

impl SimDisk {
    fn log(&self) -> MutexGuard<'_, LogFile> {
        self.log.lock().expect("no thread of the simulator fails while it holds a disk")
    }

    /// The machine loses its power: each file is kept, torn or lost by itself, as far as it was not synced.
    pub fn lose_unsynced(&self, seed: u64) {
        let mut rand = SeededRandom(seed);
        self.folder.lose_power(|below| rand.below(below));
    }

    /// All that was asked for so far has reached the disk.
    pub fn synced(&self) {
        self.folder.reach();
    }

    /// The disk is replaced by an empty one.
    pub fn wipe(&self) {
        self.folder.set_files(Default::default());
        *self.log() = LogFile::inside(Box::new(self.folder.clone()));
    }

    /// Refuses every write from now on, or takes them again.
    pub fn set_full(&self, full: bool) {
        self.folder.set_full(full);
    }

    /// The records that the process has written, synced or not.
    pub fn records(&self) -> Vec<Record> {
        let files = self.folder.files();
        let mut found: Vec<u64> = files.keys().filter_map(|name| log_format::generation(name)).collect();
        found.sort_unstable();
        let read = |generation: u64| match log_format::read(generation, &files[&log_format::name(generation)])
        {
            Content::Whole(records, _) => Some(records),
            _ => None,
        };
        found.into_iter().rev().find_map(read).unwrap_or_default()
    }

    /// All files, as the process sees them.
    pub fn files(&self) -> Files {
        self.folder.files()
    }

    /// Puts other files in the place of all.
    pub fn set_files(&self, files: Files) {
        self.folder.set_files(files);
    }

    /// The records that no loss of power takes.
    pub fn certain_records(&self) -> Vec<Record> {
        let folder = SimFolder::default();
        folder.set_files(self.folder.certain());
        LogFile::inside(Box::new(folder)).load().unwrap_or_default()
    }

    /// The bytes of all files.
    pub fn bytes(&self) -> usize {
        self.folder.files().values().map(Vec::len).sum()
    }
}

impl Disk for SimDisk {
    fn load(&mut self) -> Result<Vec<Record>, Fault> {
        let rows = self.log().load();
        self.folder.reach();
        rows
    }

    fn add(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.log().add(records)
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.log().rewrite(records)
    }

    fn set_aside(&mut self) -> Result<String, Fault> {
        self.log().set_aside()
    }

    fn room(&self) -> u64 {
        self.folder.room()
    }

    fn len(&self) -> u64 {
        self.log().len()
    }
}

//! The log file of a controller: batches are appended until a rewrite replaces them with a snapshot.
//!
//! A rewrite never changes the current file. It writes the file of the next generation, syncs it, syncs the
//! folder, and only then removes the older one. After a power loss at any point, whichever of the files'
//! names survived, the newest file with an intact first batch holds everything that was acknowledged.
#![deny(missing_docs)]

use super::disk::Disk;
use super::fault::{Fault, Kind};
use super::folder::{Folder, SystemFolder};
use super::log_format::{self, Content, FORMAT_ONE_NAME};
use crate::msg::Record;
use std::io;
use std::path::Path;

const REMEDY_DISK: &str = "free room on the disk or replace it";
const REMEDY_DAMAGED: &str = "the file is set aside as core.bad.N and this node joins again as new; check the \
     disk; if no other copy is left, see 'restore' in docs/operators/machines.md";
const REMEDY_FORMAT: &str = "start the release that wrote it, or empty the data folder to join as new";

/// The file in use.
struct Current {
    generation: u64,
    len: u64,
}

/// A [`Disk`] in a [`Folder`].
pub struct LogFile {
    folder: Box<dyn Folder>,
    current: Option<Current>,
    /// Whether bytes of a failed append may follow the end of the current file.
    cut_due: bool,
    /// The generation of a file that a failed rewrite may have left.
    discard_due: Option<u64>,
}

impl LogFile {
    /// Opens the folder on the real disk, and creates it if needed; a fault if neither is possible.
    pub fn open(path: &Path) -> Result<LogFile, Fault> {
        let refused = |e: io::Error| {
            let remedy = "name a data folder this process can write to";
            Fault::new(Kind::Disk, path.display().to_string(), e.to_string(), remedy)
        };
        Ok(LogFile::inside(Box::new(SystemFolder::open(path).map_err(refused)?)))
    }

    /// Uses any folder.
    pub fn inside(folder: Box<dyn Folder>) -> LogFile {
        LogFile { folder, current: None, cut_due: false, discard_due: None }
    }

    /// The name of the current file.
    pub fn name(&self) -> Option<String> {
        self.current.as_ref().map(|current| file_name(current.generation))
    }

    fn fault(&self, kind: Kind, name: &str, what: impl std::fmt::Display, remedy: &str) -> Fault {
        Fault::new(kind, format!("{}/{name}", self.folder.place()), what.to_string(), remedy)
    }

    fn refused(&self, name: &str, error: io::Error) -> Fault {
        self.fault(Kind::Disk, name, error, REMEDY_DISK)
    }

    /// The generations of all log files in the folder, the newest first.
    fn generations(&self) -> Result<Vec<u64>, Fault> {
        let names = self.folder.names().map_err(|e| self.refused("", e))?;
        let mut found: Vec<u64> = names.iter().filter_map(|name| log_format::generation(name)).collect();
        found.sort_unstable();
        found.reverse();
        Ok(found)
    }

    /// Reads one file; returns `None` if it was not written to its end.
    fn read(&mut self, generation: u64) -> Result<Option<Vec<Record>>, Fault> {
        let name = file_name(generation);
        let raw = self.folder.read(&name).map_err(|e| self.refused(&name, e))?;
        let content = match generation {
            0 => log_format::read_format_one(&raw),
            _ => log_format::read(generation, &raw),
        };
        match content {
            Content::Unfinished => Ok(None),
            Content::Whole(records, len) => {
                self.current = Some(Current { generation, len: len as u64 });
                self.cut_due = len < raw.len();
                if self.cut_due {
                    log::warn!(event = "log-cut", file = name, kept = len, torn = raw.len() - len; "");
                }
                Ok(Some(records))
            }
            Content::Damaged(at) => {
                let what = format!("a record at byte {at} is corrupt and others follow it");
                Err(self.fault(Kind::Damage, &name, what, REMEDY_DAMAGED))
            }
            Content::OtherFormat(format) => {
                let what = format!(
                    "it has format {format}; this release reads formats 1 and {}",
                    log_format::FORMAT
                );
                Err(self.fault(Kind::Format, &name, what, REMEDY_FORMAT))
            }
        }
    }

    /// Syncs a file that was read. A killed process may have left bytes that were written and not synced;
    /// this node must not claim to hold them before they are durable.
    fn sync_what_was_read(&mut self, generation: u64) -> Result<(), Fault> {
        let name = file_name(generation);
        self.folder.sync_file(&name).map_err(|e| self.refused(&name, e))
    }

    fn cut_if_due(&mut self) -> Result<(), Fault> {
        let Some(Current { generation, len }) = self.current else { return Ok(()) };
        if self.cut_due {
            let name = file_name(generation);
            let cut = self.folder.set_len(&name, len).and_then(|()| self.folder.sync_file(&name));
            cut.map_err(|e| self.refused(&name, e))?;
            self.cut_due = false;
        }
        Ok(())
    }

    /// Removes the file that a failed rewrite left. Before that nothing may be appended to the older file:
    /// the newer one could come back after a power loss, and the appended records would be lost.
    fn discard_if_due(&mut self) -> Result<(), Fault> {
        let Some(generation) = self.discard_due else { return Ok(()) };
        let name = file_name(generation);
        let there = self.folder.names().map_err(|e| self.refused("", e))?.contains(&name);
        if there {
            let emptied = self.folder.set_len(&name, 0).and_then(|()| self.folder.sync_file(&name));
            emptied.and_then(|()| self.folder.remove(&name)).map_err(|e| self.refused(&name, e))?;
        }
        self.folder.sync_folder().map_err(|e| self.refused("", e))?;
        self.discard_due = None;
        Ok(())
    }

    /// Removes files that are older than the current one. A failure is ignored, because the newest file
    /// counts.
    fn remove_older(&mut self) {
        let Some(newest) = self.current.as_ref().map(|current| current.generation) else { return };
        let mut removed = false;
        for old in self.generations().unwrap_or_default().into_iter().filter(|old| *old < newest) {
            removed |= self.folder.remove(&file_name(old)).is_ok();
        }
        if removed {
            let _ = self.folder.sync_folder();
        }
    }
}

impl Disk for LogFile {
    fn load(&mut self) -> Result<Vec<Record>, Fault> {
        self.current = None;
        (self.cut_due, self.discard_due) = (false, None);
        self.folder.sync_folder().map_err(|e| self.refused("", e))?;
        let found = self.generations()?;
        for generation in &found {
            let Some(records) = self.read(*generation)? else { continue };
            self.discard_due = found.first().copied().filter(|newest| newest != generation);
            if *generation == 0 {
                self.rewrite(&records)?;
                return Ok(records);
            }
            self.sync_what_was_read(*generation)?;
            self.remove_older();
            let _ = self.cut_if_due();
            return Ok(records);
        }
        let mut begun = false;
        for generation in found {
            let name = file_name(generation);
            begun |= !self.folder.read(&name).map_err(|e| self.refused(&name, e))?.is_empty();
        }
        if begun {
            let what = "its first records are damaged and no older file is there";
            return Err(self.fault(Kind::Damage, "core.*.log", what, REMEDY_DAMAGED));
        }
        Ok(Vec::new())
    }

    fn add(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.discard_if_due()?;
        self.cut_if_due()?;
        let Some(Current { generation, len }) = self.current else { return self.rewrite(records) };
        let name = file_name(generation);
        let raw = log_format::batch(generation, len, records);
        let wrote = self.folder.write(&name, len, &raw).and_then(|()| self.folder.sync_file(&name));
        if let Err(e) = wrote {
            self.cut_due = true;
            let _ = self.cut_if_due();
            return Err(self.refused(&name, e));
        }
        self.current = Some(Current { generation, len: len + raw.len() as u64 });
        Ok(())
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.discard_if_due()?;
        let newest = self.generations()?.first().copied().unwrap_or(0);
        let generation = newest + 1;
        let name = file_name(generation);
        let raw = log_format::begin(generation, records);
        self.discard_due = Some(generation);
        let wrote = self.folder.write(&name, 0, &raw).and_then(|()| self.folder.sync_file(&name));
        if let Err(e) = wrote.and_then(|()| self.folder.sync_folder()) {
            let _ = self.discard_if_due();
            return Err(self.refused(&name, e));
        }
        self.discard_due = None;
        self.cut_due = false;
        self.current = Some(Current { generation, len: raw.len() as u64 });
        self.remove_older();
        Ok(())
    }

    fn set_aside(&mut self) -> Result<String, Fault> {
        let names = self.folder.names().map_err(|e| self.refused("", e))?;
        let mut kept = Vec::new();
        let mut free = (1..).map(|n| format!("core.bad.{n}")).filter(|name| !names.contains(name));
        for name in names.iter().filter(|name| log_format::generation(name).is_some()) {
            let Some(bad) = free.next() else { break };
            self.folder.rename(name, &bad).map_err(|e| self.refused(name, e))?;
            kept.push(bad);
        }
        self.folder.sync_folder().map_err(|e| self.refused("", e))?;
        self.current = None;
        (self.cut_due, self.discard_due) = (false, None);
        Ok(kept.join(", "))
    }

    fn room(&self) -> u64 {
        self.folder.room()
    }

    fn len(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.len)
    }
}

fn file_name(generation: u64) -> String {
    match generation {
        0 => FORMAT_ONE_NAME.to_string(),
        _ => log_format::name(generation),
    }
}

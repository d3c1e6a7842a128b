//! The disk interface of a controller: a list of records that survives a power loss.
#![deny(missing_docs)]

use super::fault::Fault;
use crate::msg::Record;

pub use super::folder::SystemFolder;
pub use super::log_file::LogFile;

/// A durable list of records. What a call wrote is on the disk when the call returns without a fault.
pub trait Disk: Send {
    /// Reads the records back, and discards what an unfinished write left behind.
    ///
    /// # Errors
    ///
    /// A damaged file is a fault of [`super::fault::Kind::Damage`]; it is neither changed nor read from.
    fn load(&mut self) -> Result<Vec<Record>, Fault>;
    /// Appends the records: after a power loss either all of them are there or none.
    fn add(&mut self, records: &[Record]) -> Result<(), Fault>;
    /// Replaces all earlier records: after a power loss either the new ones are there or the earlier ones.
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault>;
    /// Renames a damaged file, returns its new name, and continues with an empty one.
    fn set_aside(&mut self) -> Result<String, Fault>;
    /// The free bytes on the disk.
    fn room(&self) -> u64;
    /// The bytes of the current file.
    fn len(&self) -> u64;
    /// Whether nothing has been written yet.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

//! What a controller needs of its disk: a list of records that survives a loss of power.
#![deny(missing_docs)]

use super::fault::Fault;
use crate::msg::Record;

pub use super::folder::SystemFolder;
pub use super::log_file::LogFile;

/// A durable list of records. Each call that returns without a fault has reached the disk.
pub trait Disk: Send {
    /// Reads the records back, and drops what an unfinished write has left behind.
    ///
    /// A damaged file is a fault of [`super::fault::Kind::Damage`]: it is neither changed nor read from.
    fn load(&mut self) -> Result<Vec<Record>, Fault>;
    /// Appends the records: after a loss of power either all of them are there or none.
    fn add(&mut self, records: &[Record]) -> Result<(), Fault>;
    /// Puts the records in the place of all earlier ones: after a loss of power either these or those are there.
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault>;
    /// Keeps a damaged file under another name, which it returns, and goes on with an empty one.
    fn set_aside(&mut self) -> Result<String, Fault>;
    /// The bytes that are free on the disk.
    fn room(&self) -> u64;
    /// The bytes that the current file takes.
    fn len(&self) -> u64;
    /// Whether nothing has been written yet.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

//! A disk that keeps records in memory; what is in it counts as synced.

use super::digest::digest_of;
use crate::kernel::disk::Disk;
use crate::kernel::fault::Fault;
use crate::msg::Record;

const ROOM: u64 = 1 << 30;

/// The synced records of one machine.
#[derive(Clone, Default)]
pub struct MemoryDisk {
    pub records: Vec<Record>,
    /// A digest of all writes since the last rewrite.
    pub digest: u64,
}

impl MemoryDisk {
    fn count(&mut self, records: &[Record]) {
        self.digest = records.iter().fold(self.digest, |sum, record| digest_of(&(sum, record)));
    }
}

impl Disk for MemoryDisk {
    fn load(&mut self) -> Result<Vec<Record>, Fault> {
        Ok(self.records.clone())
    }

    fn add(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.count(records);
        self.records.extend_from_slice(records);
        Ok(())
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault> {
        self.digest = 0;
        self.count(records);
        self.records = records.to_vec();
        Ok(())
    }

    fn set_aside(&mut self) -> Result<String, Fault> {
        *self = MemoryDisk::default();
        Ok(String::new())
    }

    fn room(&self) -> u64 {
        ROOM
    }

    fn len(&self) -> u64 {
        self.records.len() as u64
    }
}

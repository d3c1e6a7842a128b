//! The format of a controller's log file.
//!
//! A file starts with a header: a magic word, the format version, the generation of the file and a checksum.
//! Batches follow, one for each synced write: a length, a checksum of the length, a checksum of the body, and
//! the body. The first batch is the state with which the file started. The generation and the offset are
//! mixed into the checksums, so that neither bytes inside a body nor a batch of an older file can pass for a
//! batch.
#![deny(missing_docs)]

use crate::msg::Record;
use crate::wire;

/// The format version that this release writes.
pub const FORMAT: u32 = 3;
/// The length of a file's header in bytes.
pub const HEADER_LEN: usize = 24;
/// The name of the only file of format 1, which has no header.
pub const FORMAT_ONE_NAME: &str = "core.log";

const MAGIC: &[u8; 8] = b"SPDLOCK\n";

/// The content of a log file.
#[derive(Debug, PartialEq)]
pub enum Content {
    /// The records, and the offset at which they end; an unfinished write may follow.
    Whole(Vec<Record>, usize),
    /// Not even the first batch is complete: the file was not written to its end.
    Unfinished,
    /// The batch at this offset is damaged, and intact ones follow it.
    Damaged(usize),
    /// The file has this format version, which this release does not know.
    OtherFormat(u32),
}

/// The name of the file of a generation.
pub fn name(generation: u64) -> String {
    format!("core.{generation}.log")
}

/// The generation of the log file with this name; `None` if it is not the name of one.
pub fn generation(name: &str) -> Option<u64> {
    if name == FORMAT_ONE_NAME {
        return Some(0);
    }
    name.strip_prefix("core.")?.strip_suffix(".log")?.parse().ok().filter(|generation| *generation > 0)
}

/// The bytes of a new file: the header and the first batch.
pub fn begin(generation: u64, records: &[Record]) -> Vec<u8> {
    let mut raw = Vec::new();
    raw.extend(MAGIC);
    raw.extend(FORMAT.to_le_bytes());
    raw.extend(generation.to_le_bytes());
    raw.extend(crc32fast::hash(&raw).to_le_bytes());
    raw.extend(batch(generation, HEADER_LEN as u64, records));
    raw
}

/// The bytes of one batch at this offset of the file of this generation.
pub fn batch(generation: u64, at: u64, records: &[Record]) -> Vec<u8> {
    let mut raw = wire::encode_frame(&bitcode::encode(records));
    mix(&mut raw[..wire::FRAME_HEADER_LEN], generation, at);
    raw
}

/// Parses the file of a generation.
pub fn read(generation: u64, raw: &[u8]) -> Content {
    match header(raw) {
        Some((FORMAT, written)) if written == generation => {}
        Some((FORMAT, _)) => return Content::Damaged(0),
        Some((other, _)) => return Content::OtherFormat(other),
        None if has_batch_after(generation, raw, HEADER_LEN) => return Content::Damaged(0),
        None => return Content::Unfinished,
    }
    let mut records = Vec::new();
    let mut at = HEADER_LEN;
    while let Some((rows, len)) = batch_at(generation, raw, at) {
        records.extend(rows);
        at += len;
    }
    if at < raw.len() && has_batch_after(generation, raw, at + 1) {
        return Content::Damaged(at);
    }
    match at {
        HEADER_LEN => Content::Unfinished,
        _ => Content::Whole(records, at),
    }
}

/// Parses a file of format 1: single records from the first byte on.
pub fn read_format_one(raw: &[u8]) -> Content {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some((record, len)) = record_at(raw, at) {
        records.push(record);
        at += len;
    }
    let later = (at + 1..raw.len()).any(|k| wire::decode_frame(&raw[k..], wire::MAX_DISK_BODY).is_ok());
    if later { Content::Damaged(at) } else { Content::Whole(records, at) }
}

/// Records in format 1, for tests of files from older releases.
pub fn write_format_one(records: &[Record]) -> Vec<u8> {
    records.iter().flat_map(|record| wire::encode_frame(&bitcode::encode(record))).collect()
}

fn header(raw: &[u8]) -> Option<(u32, u64)> {
    let header = raw.get(..HEADER_LEN)?;
    let (body, sum) = header.split_at(HEADER_LEN - 4);
    if &body[..8] != MAGIC || crc32fast::hash(body).to_le_bytes() != sum {
        return None;
    }
    let format = u32::from_le_bytes(body[8..12].try_into().ok()?);
    let generation = u64::from_le_bytes(body[12..20].try_into().ok()?);
    Some((format, generation))
}

fn batch_at(generation: u64, raw: &[u8], at: usize) -> Option<(Vec<Record>, usize)> {
    let (body, len) = frame_at(generation, raw, at)?;
    Some((bitcode::decode(body).ok()?, len))
}

fn frame_at(generation: u64, raw: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let mut head: [u8; wire::FRAME_HEADER_LEN] = raw.get(at..at + wire::FRAME_HEADER_LEN)?.try_into().ok()?;
    mix(&mut head, generation, at as u64);
    let len = wire::body_len(&head, wire::MAX_DISK_BODY).ok()?;
    let body = raw.get(at + wire::FRAME_HEADER_LEN..at + wire::FRAME_HEADER_LEN + len)?;
    Some((wire::checked_body(&head, body).ok()?, wire::FRAME_HEADER_LEN + len))
}

/// Tries each offset once. A body is read only after a header whose length checksum is right, and such
/// headers occur only where batches start, so no byte is read more than a few times.
fn has_batch_after(generation: u64, raw: &[u8], from: usize) -> bool {
    (from..raw.len()).any(|at| frame_at(generation, raw, at).is_some())
}

fn record_at(raw: &[u8], at: usize) -> Option<(Record, usize)> {
    let (body, len) = wire::decode_frame(raw.get(at..)?, wire::MAX_DISK_BODY).ok()?;
    Some((bitcode::decode(body).ok()?, len))
}

/// Mixes generation and offset into both checksums of a batch's header; applied twice it restores them.
fn mix(head: &mut [u8], generation: u64, at: u64) {
    let mut place = [0u8; 16];
    place[..8].copy_from_slice(&generation.to_le_bytes());
    place[8..].copy_from_slice(&at.to_le_bytes());
    let salt = crc32fast::hash(&place).to_le_bytes();
    for (n, byte) in head[4..].iter_mut().enumerate() {
        *byte ^= salt[n % salt.len()];
    }
}

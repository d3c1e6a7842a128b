//! Counts the messages and bytes that a node sends and receives, by kind of message.
#![deny(missing_docs)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

/// How many kinds are listed.
const SHOWN: usize = 10;

#[derive(Clone, Copy, Default)]
struct Count {
    messages: u64,
    bytes: u64,
}

type Counts = BTreeMap<&'static str, Count>;

/// What a node has sent and received since the last [`Traffic::take`].
#[derive(Default)]
pub struct Traffic {
    sent: Mutex<Counts>,
    got: Mutex<Counts>,
}

impl Traffic {
    /// Counts a sent message of `bytes`.
    pub fn sent(&self, kind: &'static str, bytes: usize) {
        add(&self.sent, kind, bytes);
    }

    /// Counts a received message of `bytes`.
    pub fn got(&self, kind: &'static str, bytes: usize) {
        add(&self.got, kind, bytes);
    }

    /// What was sent and received since the last call, as `kind=messages/bytes`, the most bytes first; at most `SHOWN`
    /// kinds each.
    pub fn take(&self) -> (String, String) {
        (take(&self.sent), take(&self.got))
    }
}

fn add(counts: &Mutex<Counts>, kind: &'static str, bytes: usize) {
    let mut counts = counts.lock().unwrap();
    let row = counts.entry(kind).or_default();
    row.messages += 1;
    row.bytes += bytes as u64;
}

fn take(counts: &Mutex<Counts>) -> String {
    let counts = std::mem::take(&mut *counts.lock().unwrap());
    let mut rows: Vec<(&str, Count)> = counts.into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(count.bytes));
    let mut text = String::new();
    for (kind, count) in rows.into_iter().take(SHOWN) {
        let _ = write!(text, "{kind}={}/{} ", count.messages, count.bytes);
    }
    text.truncate(text.trim_end().len());
    text
}

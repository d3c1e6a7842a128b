//! Messages and bytes by kind, as a node sends and gets them.
#![deny(missing_docs)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

/// How many kinds are shown.
const SHOWN: usize = 10;

#[derive(Clone, Copy, Default)]
struct Count {
    messages: u64,
    bytes: u64,
}

type Counts = BTreeMap<&'static str, Count>;

/// What a node has sent and got since it was asked last.
#[derive(Default)]
pub struct Traffic {
    sent: Mutex<Counts>,
    got: Mutex<Counts>,
}

impl Traffic {
    /// A message of `bytes` was sent.
    pub fn sent(&self, kind: &'static str, bytes: usize) {
        add(&self.sent, kind, bytes);
    }

    /// A message of `bytes` came in.
    pub fn got(&self, kind: &'static str, bytes: usize) {
        add(&self.got, kind, bytes);
    }

    /// What was sent and got since the last call, as `kind=messages/bytes`, the most bytes first.
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

//! Splitting of a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

/// An event of a stream.
#[derive(Clone, PartialEq, Debug)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its bytes, with the empty line that ends it.
    pub raw: Bytes,
}

impl StreamEvent {
    /// Whether it carries data, unlike a comment.
    pub fn has_data(&self) -> bool {
        self.raw.split(|b| *b == b'\n').any(|line| line.starts_with(b"data"))
    }

    /// How another event at the same place differs, for the log: names and lengths, no content of the client.
    pub fn difference(&self, other: &StreamEvent) -> String {
        let name = |item: &StreamEvent| item.id.clone().unwrap_or_else(|| "none".into());
        let (mine, theirs) = (&self.raw, &other.raw);
        let at = mine.iter().zip(theirs.iter()).take_while(|(a, b)| a == b).count();
        let fields = |item: &StreamEvent| field_names(&item.raw).join("+");
        format!(
            "id={}/{} bytes={}/{} first_difference={at} fields={}/{}",
            name(self),
            name(other),
            mine.len(),
            theirs.len(),
            fields(self),
            fields(other)
        )
    }
}

/// The field names of an event, in order.
fn field_names(raw: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(raw);
    let lines = text.lines().filter(|line| !line.is_empty());
    lines.map(|line| line.split(':').next().unwrap_or("").chars().take(FIELD_NAME_MAX).collect()).collect()
}

/// Longest part of a field name that is logged, in characters.
const FIELD_NAME_MAX: usize = 24;

/// Collects bytes until an event is complete.
#[derive(Default)]
pub struct EventSplitter {
    buffered: BytesMut,
}

/// Longest event, in bytes.
pub const EVENT_MAX: usize = 1 << 20;

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<StreamEvent> {
        self.buffered.extend_from_slice(chunk);
        let mut out = Vec::new();
        while let Some(end) = gap(&self.buffered) {
            let raw = self.buffered.split_to(end).freeze();
            out.push(StreamEvent { id: id_of(&raw), raw });
        }
        out
    }

    /// Whether the incomplete event exceeds [`EVENT_MAX`].
    pub fn is_event_too_long(&self) -> bool {
        self.buffered.len() > EVENT_MAX
    }

    /// Takes the bytes of the incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffered.split().freeze()
    }
}

/// The length of the first event: to the end of the empty line after it.
fn gap(raw: &[u8]) -> Option<usize> {
    let mut at = 0;
    while at < raw.len() {
        let line = raw[at..].iter().position(|b| *b == b'\n')?;
        let bare = line == 0 || (line == 1 && raw[at] == b'\r');
        at += line + 1;
        if bare && at > 2 {
            return Some(at);
        }
    }
    None
}

fn id_of(raw: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(raw).ok()?;
    let line = text.lines().rev().find_map(|l| l.strip_prefix("id:"))?;
    Some(line.strip_prefix(' ').unwrap_or(line).to_string())
}

use bytes::{Bytes, BytesMut};

#[derive(Clone, PartialEq, Debug)]
pub struct StreamEvent {
    pub id: Option<String>,
    pub raw: Bytes,
}

impl StreamEvent {
    /// Whether it brings the client something, as a comment does not.
    pub fn has_data(&self) -> bool {
        self.raw.split(|b| *b == b'\n').any(|line| line.starts_with(b"data"))
    }

    /// How another event of the same place differs, without any of the caller's content: for the log.
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

/// The names of the lines of an event, in order.
fn field_names(raw: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(raw);
    let lines = text.lines().filter(|line| !line.is_empty());
    lines.map(|line| line.split(':').next().unwrap_or("").chars().take(FIELD_NAME_MAX).collect()).collect()
}

/// So much of a field's name is logged.
const FIELD_NAME_MAX: usize = 24;

#[derive(Default)]
pub struct EventSplitter {
    buffered: BytesMut,
}

pub const EVENT_MAX: usize = 1 << 20;

impl EventSplitter {
    pub fn push(&mut self, chunk: &[u8]) -> Vec<StreamEvent> {
        self.buffered.extend_from_slice(chunk);
        let mut out = Vec::new();
        while let Some(end) = gap(&self.buffered) {
            let raw = self.buffered.split_to(end).freeze();
            out.push(StreamEvent { id: id_of(&raw), raw });
        }
        out
    }

    pub fn is_event_too_long(&self) -> bool {
        self.buffered.len() > EVENT_MAX
    }

    pub fn take_rest(&mut self) -> Bytes {
        self.buffered.split().freeze()
    }
}

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

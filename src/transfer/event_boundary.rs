//! Where a stream of events stands: between two events or within one.
#![deny(missing_docs)]

/// Follows a stream byte by byte and keeps none of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EventBoundary {
    is_line_empty: bool,
    is_within_event: bool,
    events: u64,
}

impl Default for EventBoundary {
    fn default() -> EventBoundary {
        EventBoundary { is_line_empty: true, is_within_event: false, events: 0 }
    }
}

impl EventBoundary {
    /// Takes in the next bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => {
                    self.is_line_empty = false;
                    self.is_within_event = true;
                }
            }
        }
    }

    /// Whether the stream has had an event and stands behind a whole one: an honest end may be here.
    pub fn may_end(&self) -> bool {
        self.events > 0 && !self.is_within_event
    }

    fn end_line(&mut self) {
        if self.is_line_empty && self.is_within_event {
            self.is_within_event = false;
            self.events += 1;
        }
        self.is_line_empty = true;
    }
}

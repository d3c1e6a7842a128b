//! Where a stream of events stands: between two events or within one.
#![deny(missing_docs)]

/// Follows a stream byte by byte and keeps none of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EventBoundary {
    line_is_empty: bool,
    within_event: bool,
    events: u64,
}

impl Default for EventBoundary {
    fn default() -> EventBoundary {
        EventBoundary { line_is_empty: true, within_event: false, events: 0 }
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
                    self.line_is_empty = false;
                    self.within_event = true;
                }
            }
        }
    }

    /// Whether the stream has had an event and stands behind a whole one: an honest end may be here.
    pub fn may_end(&self) -> bool {
        self.events > 0 && !self.within_event
    }

    fn end_line(&mut self) {
        if self.line_is_empty && self.within_event {
            self.within_event = false;
            self.events += 1;
        }
        self.line_is_empty = true;
    }
}

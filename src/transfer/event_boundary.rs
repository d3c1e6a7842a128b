//! Where a stream of events stands: between two events or inside one.
//!
#![deny(missing_docs)]

/// Follows a stream byte by byte without storing it.
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
    /// Processes the next bytes.
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

    /// Whether at least one event has come and none is incomplete: a regular end is possible here.
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

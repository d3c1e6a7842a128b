//! How old the list of runners may become before a controller reads it itself.
#![deny(missing_docs)]

use crate::kernel::time::Span;

/// The part of the drain time after which the first controller reads the list.
const FIRST_PART: f64 = 0.375;
/// The part after which the last controller does: half is left to read the list and spread the news.
const LAST_PART: f64 = 0.5;

/// The limits on the age of the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListTiming {
    /// How long requests may still be sent to a runner after the list shows it as leaving.
    pub drain: Span,
}

impl Default for ListTiming {
    fn default() -> ListTiming {
        ListTiming { drain: Span::ms(4000) }
    }
}

impl ListTiming {
    /// The age at which the controller with this `rank` among `count` reads the list.
    pub fn max_age(&self, rank: usize, count: usize) -> Span {
        let share = rank as f64 / count.max(1) as f64;
        let part = FIRST_PART + (LAST_PART - FIRST_PART) * share.min(1.0);
        Span((self.drain.0 as f64 * part) as u64)
    }
}

//! Errors that an operator reads: where, what, and the remedy.

use std::fmt;

/// The kind of a fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    /// The configuration or the settings are invalid.
    Config,
    /// The disk can't be read or written.
    Disk,
    /// Data on the disk is damaged.
    Damage,
    /// Data on the disk has a format that this release does not know.
    Format,
    /// An address or a connection can't be used.
    Net,
    /// A command was called with wrong arguments.
    Usage,
    /// A frame or a message from the network is malformed.
    Wire,
}

/// An error with its place and remedy.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Fault {
    /// Its kind.
    pub kind: Kind,
    /// Where it occurred: a file, an address or a path in a document.
    pub place: String,
    /// What is wrong.
    pub what: String,
    /// What the operator can do about it.
    pub remedy: String,
}

/// The longest place or description in bytes. Both may quote a document that a client sent.
const MAX_TEXT_BYTES: usize = 1024;

/// A text, cut to `MAX_TEXT_BYTES`.
fn bounded(mut text: String) -> String {
    text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
    text
}

impl Fault {
    /// A fault of this kind. Long texts are cut.
    pub fn new(
        kind: Kind,
        place: impl Into<String>,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Fault {
        Fault { kind, place: bounded(place.into()), what: bounded(what.into()), remedy: remedy.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.what, self.remedy)
    }
}

impl std::error::Error for Fault {}

//! Ids, versions and names as distinct types.

pub use super::change_id::{ChangeId, DocumentDigest};
use bitcode::{Decode, Encode};
use std::fmt;

macro_rules! small {
    ($($name:ident, $mark:literal);* $(;)?) => {$(
        /// A number that is written as its mark and hexadecimal digits.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($mark, "{:x}"), self.0)
            }
        }
        impl $name {
            /// Parses what `Display` writes, also without the mark; `None` if the text is not a number.
            pub fn parse(text: &str) -> Option<$name> {
                let bare = text.strip_prefix($mark).unwrap_or(text);
                u64::from_str_radix(bare, 16).ok().map($name)
            }
            /// The next number.
            pub fn next(self) -> $name {
                $name(self.0 + 1)
            }
        }
    )*};
}

small! {
    NodeId, "n";
    FleetId, "f";
    Version, "v";
    ViewNo, "w";
    Term, "t";
    MoveId, "m";
    OrderId, "o";
    Ticket, "k";
    PlanId, "p";
}

/// The number of an attempt to decide a chain view; unique for each attempt, because it names the node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Encode, Decode)]
pub struct Ballot {
    /// Rises with each attempt.
    pub round: u64,
    /// The node that makes the attempt.
    pub node: NodeId,
}

/// The name of a model, adapter, service, runner, tenant or zone.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct Name(pub String);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name(text.to_string())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Name {
        Name(text)
    }
}

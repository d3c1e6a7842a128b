//! Typed numbers and names.

pub use super::change_id::{ChangeId, DocumentDigest};
use bitcode::{Decode, Encode};
use std::fmt;

macro_rules! small {
    ($($name:ident, $mark:literal);* $(;)?) => {$(
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($mark, "{:x}"), self.0)
            }
        }
        impl $name {
            pub fn parse(text: &str) -> Option<$name> {
                let bare = text.strip_prefix($mark).unwrap_or(text);
                u64::from_str_radix(bare, 16).ok().map($name)
            }
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

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Encode, Decode)]
pub struct Ballot {
    pub round: u64,
    pub node: NodeId,
}

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

use std::fmt;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    Config,
    Disk,
    /// What was kept on the disk is damaged.
    Damage,
    /// What was kept on the disk was written in a format that this release does not know.
    Format,
    Net,
    Usage,
    Wire,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Fault {
    pub kind: Kind,
    pub place: String,
    pub what: String,
    pub remedy: String,
}

impl Fault {
    pub fn new(
        kind: Kind,
        place: impl Into<String>,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Fault {
        Fault { kind, place: place.into(), what: what.into(), remedy: remedy.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.what, self.remedy)
    }
}

impl std::error::Error for Fault {}

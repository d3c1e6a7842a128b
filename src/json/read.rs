//! Reads the fields of a JSON object with checks, and collects all faults instead of stopping at the first one.

use super::Tree;
use crate::kernel::fault::{Fault, Kind};

/// The longest text of a field that is read by [`Reader::line`] or its like, in bytes.
pub const LONGEST_TEXT: usize = 512;

/// Reads the fields of one object. Each fault is recorded with its place and a remedy, and reading continues with a default.
pub struct Reader<'a> {
    /// The place of the object within its document; empty for the document itself.
    pub path: String,
    rows: &'a [(String, Tree)],
    used: Vec<&'a str>,
    /// The faults found so far.
    pub faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Starts reading `tree` at `path`. It is a fault if it is no object or has a key twice.
    pub fn new(path: &str, tree: &'a Tree) -> Reader<'a> {
        let mut r = Reader { path: path.to_string(), rows: &[], used: vec![], faults: vec![] };
        match tree {
            Tree::Map(rows) => r.rows = rows,
            _ => r.fault("", "is not an object", "write it as {\"key\": value}"),
        }
        for (n, row) in r.rows.iter().enumerate() {
            if r.rows[..n].iter().any(|old| old.0 == row.0) {
                r.fault(&row.0, "is given twice", "keep one of the two");
            }
        }
        r
    }

    /// The place of the field `key`.
    pub fn at(&self, key: &str) -> String {
        match (self.path.is_empty(), key.is_empty()) {
            (_, true) => self.path.clone(),
            (true, _) => key.to_string(),
            _ => format!("{}.{key}", self.path),
        }
    }

    /// Records a fault of the field `key`.
    pub fn fault(&mut self, key: &str, what: &str, remedy: &str) {
        let place = self.at(key);
        self.faults.push(Fault::new(Kind::Config, place, what, remedy));
    }

    /// The value of the field `key`, which counts as known from now on.
    pub fn take(&mut self, key: &'a str) -> Option<&'a Tree> {
        self.used.push(key);
        self.rows.iter().find(|r| r.0 == key).map(|r| &r.1)
    }

    /// A text of any length; required if there is no default.
    pub fn text(&mut self, key: &'a str, dflt: Option<&str>) -> String {
        match (self.take(key), dflt) {
            (Some(Tree::Text(t)), _) => return t.clone(),
            (Some(_), _) => self.fault(key, "is not a text", "put it in quotes"),
            (None, Some(d)) => return d.to_string(),
            (None, None) => self.fault(key, "is missing", "add it"),
        }
        String::new()
    }

    /// A text of at most `LONGEST_TEXT` bytes without control characters.
    pub fn line(&mut self, key: &'a str, dflt: Option<&str>) -> String {
        let line = self.text(key, dflt);
        self.check_line(key, &line);
        line
    }

    /// A required line that is not empty, such as a name that other fields refer to.
    pub fn name(&mut self, key: &'a str) -> String {
        let given = matches!(self.rows.iter().find(|r| r.0 == key), Some((_, Tree::Text(_))));
        let name = self.line(key, None);
        if given && name.is_empty() {
            self.fault(key, "is empty", "give it a name");
        }
        name
    }

    /// Records a fault if a text is too long or has control characters.
    fn check_line(&mut self, key: &str, line: &str) {
        if line.len() > LONGEST_TEXT {
            let remedy = format!("shorten it to {LONGEST_TEXT} bytes");
            self.fault(key, &format!("is {} bytes long", line.len()), &remedy);
        }
        if line.chars().any(char::is_control) {
            self.fault(
                key,
                "holds a control character",
                "remove line breaks, tabs and other control characters",
            );
        }
    }

    /// A whole number from `low` to `high`; required if there is no default.
    pub fn num(&mut self, key: &'a str, dflt: Option<u64>, low: u64, high: u64) -> u64 {
        let remedy = format!("give a whole number from {low} to {high}");
        match (self.take(key), dflt) {
            (Some(Tree::Num(n)), _) if n.fract() == 0.0 && *n >= low as f64 && *n <= high as f64 => {
                return *n as u64;
            }
            (Some(t), _) => self.fault(key, &format!("is {t}"), &remedy),
            (None, Some(d)) => return d,
            (None, None) => self.fault(key, "is missing", &remedy),
        }
        low
    }

    /// A boolean.
    pub fn flag(&mut self, key: &'a str, dflt: bool) -> bool {
        match self.take(key) {
            Some(Tree::Bool(b)) => *b,
            None => dflt,
            Some(_) => {
                self.fault(key, "is not true or false", "write true or false without quotes");
                dflt
            }
        }
    }

    /// A list; empty if it is absent.
    pub fn list(&mut self, key: &'a str) -> &'a [Tree] {
        match self.take(key) {
            Some(Tree::List(rows)) => rows,
            None => &[],
            Some(_) => {
                self.fault(key, "is not a list", "write it as [ ... ]");
                &[]
            }
        }
    }

    /// A list of lines; empty if it is absent.
    pub fn texts(&mut self, key: &'a str) -> Vec<String> {
        let mut out = Vec::new();
        for row in self.list(key) {
            match row {
                Tree::Text(t) => {
                    if t.is_empty() {
                        self.fault(key, "holds an empty text", "remove it or give it a name");
                    }
                    self.check_line(key, t);
                    out.push(t.clone());
                }
                _ => self.fault(key, "holds something that is not a text", "quote each entry"),
            }
        }
        out
    }

    /// One of the texts `may`.
    pub fn one_of(&mut self, key: &'a str, dflt: &str, may: &[&str]) -> String {
        let got = self.text(key, Some(dflt));
        if !may.contains(&got.as_str()) {
            let remedy = format!("use one of {}", may.join(", "));
            self.fault(key, &format!("is \"{}\"", got.escape_debug()), &remedy);
        }
        got
    }

    /// Ends the reading: fields that were never taken are faults. Returns all faults.
    pub fn done(mut self) -> Vec<Fault> {
        for row in self.rows {
            if !self.used.contains(&row.0.as_str()) {
                let remedy = format!("remove it; known here: {}", self.used.join(", "));
                self.fault(&row.0, "is an unknown key", &remedy);
            }
        }
        self.faults
    }
}

//! JSON documents as trees.

use super::number::write;
use super::parse::parse;
use std::fmt;

/// The largest whole number up to which every JSON implementation is exact, including those that use floats.
pub const EXACT_INTEGERS: u64 = 1 << 53;

/// A JSON value; members of an object keep their order.
#[derive(Clone, PartialEq, Debug)]
pub enum Tree {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number that a float writes back as it was read.
    Num(f64),
    /// A number that no float holds exactly, as it was written.
    Literal(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Tree>),
    /// An object.
    Map(Vec<(String, Tree)>),
}

impl Tree {
    /// Parses one JSON document. Fails with a text that says what is wrong in which line.
    pub fn parse(text: &str) -> Result<Tree, String> {
        parse(text).map_err(|error| error.to_string())
    }

    /// The member `key` of an object.
    pub fn get(&self, key: &str) -> Option<&Tree> {
        let Tree::Map(rows) = self else { return None };
        rows.iter().find(|r| r.0 == key).map(|r| &r.1)
    }

    /// The member `key`, if it is a string.
    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Tree::Text(t) => Some(t),
            _ => None,
        }
    }

    /// The member `key`, if it is a number from 0 on; rounded down, and at most `EXACT_INTEGERS`.
    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Tree::Num(n) if *n >= 0.0 => Some((*n as u64).min(EXACT_INTEGERS)),
            Tree::Literal(text) if !text.starts_with('-') => {
                Some((text.parse::<f64>().ok()? as u64).min(EXACT_INTEGERS))
            }
            _ => None,
        }
    }

    /// The member `key`, if it is a whole number from 0 to `EXACT_INTEGERS`, exactly as written.
    pub fn whole(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Tree::Num(n) if *n >= 0.0 && n.fract() == 0.0 && *n <= EXACT_INTEGERS as f64 => Some(*n as u64),
            _ => None,
        }
    }

    /// The member `key`, if it is a number, as the nearest finite float.
    pub fn float(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            Tree::Num(n) => Some(*n),
            Tree::Literal(text) => text.parse::<f64>().ok().map(|n| n.clamp(f64::MIN, f64::MAX)),
            _ => None,
        }
    }

    /// The member `key`, if it is a boolean.
    pub fn flag(&self, key: &str) -> Option<bool> {
        match self.get(key)? {
            Tree::Bool(b) => Some(*b),
            _ => None,
        }
    }

    /// The items of the member `key`; none if it is no array.
    pub fn list(&self, key: &str) -> &[Tree] {
        match self.get(key) {
            Some(Tree::List(rows)) => rows,
            _ => &[],
        }
    }

    /// The strings among the items of the member `key`.
    pub fn texts(&self, key: &str) -> Vec<String> {
        let rows = self.list(key).iter();
        rows.filter_map(|t| if let Tree::Text(t) = t { Some(t.clone()) } else { None }).collect()
    }

    /// The value that identifies an item of a list: its name, prefix or instance.
    fn name_key(&self) -> Option<&Tree> {
        ["name", "prefix", "instance"].iter().find_map(|k| self.get(k))
    }

    /// Applies a patch. Members of objects are merged, and `null` removes one. Lists whose items all have a name are merged
    /// item by item, by name and host; an item with `drop: true` removes its counterpart. Any other value is replaced.
    pub fn merge(&mut self, patch: Tree) {
        match (self, patch) {
            (Tree::Map(rows), Tree::Map(more)) => {
                for (key, new) in more {
                    if new == Tree::Null {
                        rows.retain(|r| r.0 != key);
                        continue;
                    }
                    match rows.iter_mut().find(|r| r.0 == key) {
                        Some(row) => row.1.merge(new),
                        None => rows.push((key, new)),
                    }
                }
            }
            (Tree::List(rows), Tree::List(more))
                if rows.iter().chain(&more).all(|item| item.name_key().is_some()) =>
            {
                for new in more {
                    let host = |r: &Tree| r.text("host").unwrap_or("").to_string();
                    let at =
                        rows.iter().position(|r| r.name_key() == new.name_key() && host(r) == host(&new));
                    let gone = new.flag("drop") == Some(true);
                    match at {
                        Some(at) if gone => drop(rows.remove(at)),
                        Some(at) => rows[at].merge(new),
                        None if gone => {}
                        None => rows.push(new),
                    }
                }
            }
            (me, new) => *me = new,
        }
    }
}

impl fmt::Display for Tree {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Tree::Null => f.write_str("null"),
            Tree::Bool(b) => write!(f, "{b}"),
            Tree::Num(n) => f.write_str(&write(*n)),
            Tree::Literal(text) => f.write_str(text),
            Tree::Text(t) => f.write_str(&quote(t)),
            Tree::List(rows) => {
                f.write_str("[")?;
                for (n, row) in rows.iter().enumerate() {
                    write!(f, "{}{row}", if n > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Tree::Map(rows) => {
                f.write_str("{")?;
                for (n, (key, row)) in rows.iter().enumerate() {
                    write!(f, "{}{}:{row}", if n > 0 { "," } else { "" }, quote(key))?;
                }
                f.write_str("}")
            }
        }
    }
}

/// A text as a JSON string.
fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

impl From<&str> for Tree {
    fn from(t: &str) -> Tree {
        Tree::Text(t.to_string())
    }
}

impl From<String> for Tree {
    fn from(t: String) -> Tree {
        Tree::Text(t)
    }
}

impl From<u64> for Tree {
    fn from(n: u64) -> Tree {
        Tree::Num(n as f64)
    }
}

impl From<bool> for Tree {
    fn from(b: bool) -> Tree {
        Tree::Bool(b)
    }
}

impl From<Vec<Tree>> for Tree {
    fn from(rows: Vec<Tree>) -> Tree {
        Tree::List(rows)
    }
}

/// An object with these members.
pub fn map(rows: &[(&str, Tree)]) -> Tree {
    Tree::Map(rows.iter().map(|(k, v)| (k.to_string(), v.clone())).collect())
}

/// An array of the texts of `rows`.
pub fn names<T: fmt::Display>(rows: &[T]) -> Tree {
    Tree::List(rows.iter().map(|r| Tree::Text(r.to_string())).collect())
}

//! A strict JSON parser (RFC 8259) that keeps each number exactly as it was written.

use super::tree::Tree;

/// How deep values may be nested, which bounds the parser's recursion.
const MAX_DEPTH: usize = 32;
/// How many values a document may hold, which bounds the memory of its tree.
const MAX_VALUES: usize = 500_000;

/// Why a text is no JSON document.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct JsonError {
    /// What is wrong.
    pub what: &'static str,
    /// The line, counted from 1.
    pub line: usize,
}

impl std::fmt::Display for JsonError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} at line {}", self.what, self.line)
    }
}

type Parsed<T> = Result<T, JsonError>;

struct Parser<'a> {
    text: &'a str,
    at: usize,
    values: usize,
}

/// Parses one document. Fails at the first error.
pub fn parse(text: &str) -> Parsed<Tree> {
    let mut parser = Parser { text, at: 0, values: 0 };
    let tree = parser.value(0)?;
    match parser.peek() {
        None => Ok(tree),
        Some(_) => Err(parser.error("text after the end")),
    }
}

impl Parser<'_> {
    fn error(&self, what: &'static str) -> JsonError {
        let read = &self.text.as_bytes()[..self.at.min(self.text.len())];
        JsonError { what, line: 1 + read.iter().filter(|b| **b == b'\n').count() }
    }

    fn byte(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    /// The next byte that is not white space.
    fn peek(&mut self) -> Option<u8> {
        while let Some(b' ' | b'\t' | b'\n' | b'\r') = self.byte() {
            self.at += 1;
        }
        self.byte()
    }

    /// Skips the byte `wanted` if it comes next, and returns whether it did.
    fn take(&mut self, wanted: u8) -> bool {
        let found = self.peek() == Some(wanted);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self, depth: usize) -> Parsed<Tree> {
        if depth > MAX_DEPTH {
            return Err(self.error("nested deeper than 32"));
        }
        self.values += 1;
        if self.values > MAX_VALUES {
            return Err(self.error("more than 500000 values"));
        }
        match self.peek() {
            Some(b'{') => self.object(depth),
            Some(b'[') => self.list(depth),
            Some(b'"') => Ok(Tree::Text(self.string()?)),
            Some(b'-' | b'0'..=b'9') => self.number(),
            Some(b't') => self.word("true", Tree::Bool(true)),
            Some(b'f') => self.word("false", Tree::Bool(false)),
            Some(b'n') => self.word("null", Tree::Null),
            _ => Err(self.error("a value is missing")),
        }
    }

    /// Parses a literal name: `true`, `false` or `null`.
    fn word(&mut self, word: &str, tree: Tree) -> Parsed<Tree> {
        if !self.text.as_bytes()[self.at..].starts_with(word.as_bytes()) {
            return Err(self.error("a value is missing"));
        }
        self.at += word.len();
        Ok(tree)
    }

    fn list(&mut self, depth: usize) -> Parsed<Tree> {
        self.at += 1;
        let mut rows = Vec::new();
        if self.take(b']') {
            return Ok(Tree::List(rows));
        }
        loop {
            rows.push(self.value(depth + 1)?);
            if self.take(b']') {
                return Ok(Tree::List(rows));
            }
            if !self.take(b',') {
                return Err(self.error("a comma or ] is missing"));
            }
        }
    }

    fn object(&mut self, depth: usize) -> Parsed<Tree> {
        self.at += 1;
        let mut rows = Vec::new();
        if self.take(b'}') {
            return Ok(Tree::Map(rows));
        }
        loop {
            if self.peek() != Some(b'"') {
                return Err(self.error("a key is missing"));
            }
            let key = self.string()?;
            if !self.take(b':') {
                return Err(self.error("a colon is missing"));
            }
            rows.push((key, self.value(depth + 1)?));
            if self.take(b'}') {
                return Ok(Tree::Map(rows));
            }
            if !self.take(b',') {
                return Err(self.error("a comma or } is missing"));
            }
        }
    }

    fn string(&mut self) -> Parsed<String> {
        self.at += 1;
        let mut out = String::new();
        loop {
            let from = self.at;
            while self.byte().is_some_and(|b| b != b'"' && b != b'\\' && b >= b' ') {
                self.at += 1;
            }
            out.push_str(&self.text[from..self.at]);
            match self.byte() {
                Some(b'"') => {
                    self.at += 1;
                    return Ok(out);
                }
                Some(b'\\') => out.push(self.escape()?),
                Some(_) => return Err(self.error("a control character stands in a text")),
                None => return Err(self.error("a text has no end")),
            }
        }
    }

    fn escape(&mut self) -> Parsed<char> {
        self.at += 1;
        let escaped = self.byte();
        self.at += 1;
        Ok(match escaped {
            Some(b'"') => '"',
            Some(b'\\') => '\\',
            Some(b'/') => '/',
            Some(b'b') => '\u{8}',
            Some(b'f') => '\u{c}',
            Some(b'n') => '\n',
            Some(b'r') => '\r',
            Some(b't') => '\t',
            Some(b'u') => return self.unicode(),
            _ => return Err(self.error("an unknown escape")),
        })
    }

    /// Parses the digits after `\u`, and the second escape of a surrogate pair.
    fn unicode(&mut self) -> Parsed<char> {
        let first = self.hex()?;
        let code = match first {
            0xD800..0xDC00 if self.text.as_bytes()[self.at..].starts_with(b"\\u") => {
                self.at += 2;
                let second = self.hex()?;
                if !(0xDC00..0xE000).contains(&second) {
                    return Err(self.error("half a surrogate pair"));
                }
                0x10000 + ((first - 0xD800) << 10) + (second - 0xDC00)
            }
            _ => first,
        };
        char::from_u32(code).ok_or_else(|| self.error("half a surrogate pair"))
    }

    fn hex(&mut self) -> Parsed<u32> {
        let digits = self.text.as_bytes().get(self.at..self.at + 4);
        let digits = digits.filter(|d| d.iter().all(u8::is_ascii_hexdigit));
        let digits = digits.and_then(|d| std::str::from_utf8(d).ok());
        let Some(code) = digits.and_then(|d| u32::from_str_radix(d, 16).ok()) else {
            return Err(self.error("four hexadecimal digits are missing"));
        };
        self.at += 4;
        Ok(code)
    }

    fn number(&mut self) -> Parsed<Tree> {
        let from = self.at;
        self.at += usize::from(self.byte() == Some(b'-'));
        let leading_zero = self.byte() == Some(b'0');
        if self.digits() == 0 || (leading_zero && self.whole_digits(from) > 1) {
            return Err(self.error("a number is malformed"));
        }
        if self.byte() == Some(b'.') {
            self.at += 1;
            if self.digits() == 0 {
                return Err(self.error("a number is malformed"));
            }
        }
        if let Some(b'e' | b'E') = self.byte() {
            self.at += 1;
            self.at += usize::from(matches!(self.byte(), Some(b'+' | b'-')));
            if self.digits() == 0 {
                return Err(self.error("a number is malformed"));
            }
        }
        Ok(super::number::read(&self.text[from..self.at]))
    }

    /// Skips decimal digits and returns how many there were.
    fn digits(&mut self) -> usize {
        let from = self.at;
        while self.byte().is_some_and(|b| b.is_ascii_digit()) {
            self.at += 1;
        }
        self.at - from
    }

    /// How many characters have been read since `from`, without the sign.
    fn whole_digits(&self, from: usize) -> usize {
        self.text[from..self.at].trim_start_matches('-').len()
    }
}

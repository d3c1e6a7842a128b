//! How answers end.
#![deny(missing_docs)]

/// How the end of a runner's answer was said.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerEnd {
    /// By the answer's own framing: a length, or chunks.
    Framed,
    /// By the end of its connection, which a killed runner's answer has too.
    Closed,
}

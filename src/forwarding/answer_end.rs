//! How the end of an answer is recognised.
//!
#![deny(missing_docs)]

/// How the end of a runner's answer was marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerEnd {
    /// By its framing: a content length or the last chunk.
    Framed,
    /// By the end of the connection, which also happens when a runner is killed.
    Closed,
}

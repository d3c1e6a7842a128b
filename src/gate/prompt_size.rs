//! How large a prompt is, as balancers weigh it.

/// Parts of a prompt: a hash that identifies each, and its number of tokens.
pub type PromptParts = std::sync::Arc<[(u64, u32)]>;

/// Expected tokens of a request; zero if unknown.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
}

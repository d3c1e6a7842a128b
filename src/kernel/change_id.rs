//! The identity of a change: the name it travels under, and a collision-resistant digest of its document.

use super::rand::Rand;
use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};
use std::fmt;

const DIGEST_BYTES: usize = 32;
const NAME_BYTES: usize = 16;
const NAME_MARK: char = 'c';

/// SHA-256 of an operator's document. Zero stands for a change of the fleet's own, which has no document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct DocumentDigest([u8; DIGEST_BYTES]);

impl DocumentDigest {
    /// The digest of `parts`, each with its length before it, so that no two lists of parts read alike.
    pub fn of(parts: &[&[u8]]) -> DocumentDigest {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        DocumentDigest(hasher.finalize().into())
    }

    /// Two hexadecimal digits a byte.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads what `to_hex` writes.
    pub fn from_hex(text: &str) -> Option<DocumentDigest> {
        if text.len() != DIGEST_BYTES * 2 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (place, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[place * 2..place * 2 + 2], 16).ok()?;
        }
        Some(DocumentDigest(bytes))
    }

    fn name(&self) -> u128 {
        let mut bytes = [0; NAME_BYTES];
        bytes.copy_from_slice(&self.0[..NAME_BYTES]);
        u128::from_le_bytes(bytes)
    }
}

/// What a change is known by, on the wire and in the replicated state.
///
/// Two changes are the same only if name and document are: a name that is used again for another document
/// names another change.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct ChangeId {
    pub name: u128,
    pub document: DocumentDigest,
}

impl ChangeId {
    /// A change of the fleet's own, or a question.
    pub fn random(rand: &mut dyn Rand) -> ChangeId {
        ChangeId { name: u128::from(rand.next() | 1), document: DocumentDigest::default() }
    }

    /// An operator's change under a name of the caller's choice.
    pub fn named(name: u128, document: DocumentDigest) -> ChangeId {
        ChangeId { name, document }
    }

    /// An operator's change that is named by its document alone.
    pub fn of_document(document: DocumentDigest) -> ChangeId {
        ChangeId { name: document.name(), document }
    }

    /// Reads a name as `Display` writes it.
    pub fn parse_name(text: &str) -> Option<u128> {
        let digits = text.strip_prefix(NAME_MARK).unwrap_or(text);
        if digits.starts_with('+') {
            return None;
        }
        u128::from_str_radix(digits, 16).ok()
    }

    /// Whether an operator sent it; the fleet's own changes have no document.
    pub fn is_operators(&self) -> bool {
        self.document != DocumentDigest::default()
    }

    /// A short form for the numbers of moves and plans that a change asks for.
    pub fn short(&self) -> u64 {
        self.name as u64
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{NAME_MARK}{:x}", self.name)
    }
}

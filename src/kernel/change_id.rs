//! The identity of a change: a name for reference, and a collision-resistant digest of its document.

use super::rand::Rand;
use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};
use std::fmt;

const DIGEST_BYTES: usize = 32;
const NAME_BYTES: usize = 16;
const NAME_MARK: char = 'c';

/// SHA-256 of an operator's document. All zeros stand for a change that the fleet made itself, which has no
/// document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct DocumentDigest([u8; DIGEST_BYTES]);

impl DocumentDigest {
    /// The digest of `parts`. The length of each part is hashed before it, so that no two different lists
    /// of parts hash the same bytes.
    pub fn of(parts: &[&[u8]]) -> DocumentDigest {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        DocumentDigest(hasher.finalize().into())
    }

    /// The digest as hexadecimal digits, two for each byte.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses what `to_hex` writes; `None` if the text is anything else.
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

    /// The name of a change that is named by its document: the first half of the digest.
    fn name(&self) -> u128 {
        let mut bytes = [0; NAME_BYTES];
        bytes.copy_from_slice(&self.0[..NAME_BYTES]);
        u128::from_le_bytes(bytes)
    }
}

/// The id of a change, in messages and in the replicated state.
///
/// Two changes are the same only if both name and document are equal: a name that is used again with
/// another document denotes another change.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Encode, Decode)]
pub struct ChangeId {
    /// The name, chosen by the caller or taken from the document.
    pub name: u128,
    /// The digest of the document.
    pub document: DocumentDigest,
}

impl ChangeId {
    /// The id of a change that the fleet makes itself, or of a read.
    pub fn random(rand: &mut dyn Rand) -> ChangeId {
        ChangeId { name: u128::from(rand.next() | 1), document: DocumentDigest::default() }
    }

    /// The id of an operator's change with a name that the caller chose.
    pub fn named(name: u128, document: DocumentDigest) -> ChangeId {
        ChangeId { name, document }
    }

    /// The id of an operator's change that is named by its document alone.
    pub fn of_document(document: DocumentDigest) -> ChangeId {
        ChangeId { name: document.name(), document }
    }

    /// Parses a name as `Display` writes it; `None` if the text is not one.
    pub fn parse_name(text: &str) -> Option<u128> {
        let digits = text.strip_prefix(NAME_MARK).unwrap_or(text);
        if digits.starts_with('+') {
            return None;
        }
        u128::from_str_radix(digits, 16).ok()
    }

    /// Whether an operator sent the change; changes that the fleet makes itself have no document.
    pub fn is_operators(&self) -> bool {
        self.document != DocumentDigest::default()
    }

    /// A short form, used as the id of moves and plans that a change asks for.
    pub fn short(&self) -> u64 {
        self.name as u64
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{NAME_MARK}{:x}", self.name)
    }
}

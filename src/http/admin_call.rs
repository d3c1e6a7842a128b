//! A call of an operator: its parts, its digest, and the headers that say what it builds on and how it is named.

use crate::kernel::ids::{ChangeId, DocumentDigest};
use crate::kernel::rand::OsRandom;
use hyper::header::HeaderMap;

/// One call of an operator.
pub(super) struct AdminCall {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) base: Option<String>,
    pub(super) text: String,
}

impl AdminCall {
    /// The digest of the whole call: method, path, base version and body.
    pub(super) fn digest(&self) -> DocumentDigest {
        let stated: &[u8] = if self.base.is_some() { b"on" } else { b"any" };
        let base = self.base.as_deref().unwrap_or("").as_bytes();
        DocumentDigest::of(&[
            self.method.as_bytes(),
            self.path.as_bytes(),
            stated,
            base,
            self.text.as_bytes(),
        ])
    }
}

/// The value of `If-Match`. Repeated headers are joined to a list and invalid UTF-8 is replaced, so that neither is
/// mistaken for a call without a base version.
pub(super) fn if_match_value(headers: &HeaderMap) -> Option<String> {
    let values: Vec<String> = headers
        .get_all("if-match")
        .iter()
        .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        .collect();
    (!values.is_empty()).then(|| values.join(","))
}

/// The name of the change from `X-Change-Id`, or a random one if the caller gives none; `None` if it is malformed.
pub(super) fn change_name(headers: &HeaderMap) -> Option<u128> {
    match headers.get("x-change-id") {
        Some(name) => name.to_str().ok().and_then(ChangeId::parse_name),
        None => Some(ChangeId::random(&mut OsRandom).name),
    }
}

//! Buffers the answer to an idempotent request until it is whole, as far as there is memory for it.

use super::exchange::{BodyBroken, RunnerAnswer};
use super::memory_account::MemoryAccount;
use bytes::Bytes;
use std::sync::Arc;

/// The largest answer that is buffered as a whole before it is passed on.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// The smallest buffer.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// The part of an answer that was buffered.
pub struct BufferedAnswer {
    /// Its bytes. Their memory stays reserved until the last copy is dropped.
    pub bytes: Bytes,
    /// Whether this is the whole answer.
    pub is_whole: bool,
}

/// Reads an answer until it is whole, too large to be buffered, or the account has no room for more of it.
pub async fn buffer_answer(
    answer: &mut RunnerAnswer,
    account: &Arc<MemoryAccount>,
) -> Result<BufferedAnswer, BodyBroken> {
    let reservation = account.open();
    let mut bytes: Vec<u8> = Vec::new();
    let mut is_whole = false;
    loop {
        let Some(piece) = answer.next().await? else {
            is_whole = true;
            break;
        };
        let length = bytes.len() + piece.len();
        let capacity = match length <= bytes.capacity() {
            true => bytes.capacity(),
            false => length.max(2 * bytes.capacity()).max(MIN_BUFFER_BYTES),
        };
        let has_room = length <= MAX_BUFFERED_BYTES && reservation.charge_now(capacity);
        bytes.reserve_exact(if has_room { capacity - bytes.len() } else { piece.len() });
        bytes.extend_from_slice(&piece);
        if !has_room {
            break;
        }
    }
    let bytes = reservation.hold(bytes);
    Ok(BufferedAnswer { bytes, is_whole })
}

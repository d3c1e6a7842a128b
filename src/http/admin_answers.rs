//! The memory for answers to operators that their callers have not read yet.

use super::client_connections::ClientConnections;
use super::memory_account::MemoryAccount;
use crate::msg::Answer;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// How many times room for an answer is looked for.
const MAX_TRIES: usize = 100;
/// The pause between two tries.
const TRY_PERIOD: Duration = Duration::from_millis(20);

/// The answers that wait to be read.
pub struct AdminAnswers {
    /// The memory that they may take together.
    pub memory: Arc<MemoryAccount>,
    /// The connections on which they are sent.
    pub connections: Arc<ClientConnections>,
}

impl AdminAnswers {
    /// The body of an answer, with memory reserved until it is sent. If there is no room, connections whose callers do not
    /// read are closed; if that does not help in time, the answer becomes a refusal.
    pub async fn reserve(&self, answer: &mut Answer) -> Bytes {
        let reservation = self.memory.open();
        for _ in 0..MAX_TRIES {
            if reservation.charge_now(answer.body.len()) {
                return reservation.hold(std::mem::take(&mut answer.body).into_bytes());
            }
            self.connections.cut_stalled();
            tokio::time::sleep(TRY_PERIOD).await;
        }
        *answer = Answer::new(503, "memory-full", "answers that nobody reads fill this node's memory", 1);
        std::mem::take(&mut answer.body).into()
    }
}

//! The bounded queue of messages for one peer.

use crate::kernel::input_queue::InputQueue;
use crate::kernel::lanes::Class;
use crate::kernel::time::{Span, Time};
use std::sync::Mutex;
use tokio::sync::Notify;

/// Messages that have waited longer are dropped instead of sent.
const MESSAGE_AGE_MAX: Span = Span::ms(2000);
/// The most messages that wait for one peer.
const QUEUE_LENGTH_MAX: usize = 256;

/// The messages that wait for one peer, the most urgent first, in the same lanes as a node's inputs.
pub struct PeerQueue {
    messages: Mutex<InputQueue<Vec<u8>>>,
    /// Notified after each message that is added.
    pub(super) message_added: Notify,
}

impl Default for PeerQueue {
    fn default() -> PeerQueue {
        PeerQueue {
            messages: Mutex::new(InputQueue::limited(QUEUE_LENGTH_MAX)),
            message_added: Notify::default(),
        }
    }
}

impl PeerQueue {
    /// Queues an encoded message and returns how many messages were dropped for it. The peer may be unreachable for long,
    /// so any message may be dropped, whatever its class.
    pub fn add(&self, now: Time, class: Class, raw: Vec<u8>) -> u64 {
        let mut messages = self.messages.lock().unwrap();
        let before = messages.dropped();
        messages.add(now, Class { droppable: true, ..class }, raw);
        self.message_added.notify_one();
        messages.dropped() - before
    }

    /// The next message that is not too old, and how many older ones were dropped.
    pub fn next(&self, now: Time) -> (Option<Vec<u8>>, u64) {
        let mut messages = self.messages.lock().unwrap();
        let mut old = 0;
        while let Some(next) = messages.pop(now) {
            if next.waited <= MESSAGE_AGE_MAX {
                return (Some(next.item), old);
            }
            old += 1;
        }
        (None, old)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.lock().unwrap().is_empty()
    }
}

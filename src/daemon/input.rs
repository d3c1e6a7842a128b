//! The inputs of a node's driver, and the handle by which the rest of the process sends them.

use crate::kernel::ids::ChangeId;
use crate::kernel::lanes::{Class, Lane, class_of, class_of_message};
use crate::msg::*;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use tokio::sync::oneshot;

/// An input of the driver.
pub enum Input {
    /// An event of this process.
    Event(Event),
    /// A message from another node.
    Envelope(Box<Envelope>),
    /// A call of an operator, with its id and the channel for the answer.
    Ask(ChangeId, Event, oneshot::Sender<Answer>),
    /// A query for the status document.
    Status(oneshot::Sender<String>),
    /// New seed addresses from reloaded settings.
    Seeds(Vec<SocketAddr>),
    /// The disk writer of this incarnation has synced all batches up to this number.
    Synced { incarnation: u64, up_to: u64 },
    /// Stops the driver.
    Stop,
}

impl Input {
    /// The lane in which it is queued, and whether it may be dropped.
    pub fn class(&self) -> Class {
        match self {
            Input::Event(event) => class_of(event),
            Input::Envelope(envelope) => class_of_message(envelope.from, &envelope.msg),
            Input::Synced { .. } | Input::Stop => Class::kept(Lane::Chain),
            Input::Ask(..) | Input::Status(_) | Input::Seeds(_) => Class::kept(Lane::Serving),
        }
    }
}

/// A handle to the node of this process.
#[derive(Clone)]
pub struct NodeHandle {
    /// The queue of the driver.
    pub tx: Sender<Input>,
}

impl NodeHandle {
    /// Sends an event to the node; it is lost if the driver has stopped.
    pub fn send(&self, event: Event) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Sends the call `id` of an operator and waits for its answer. If the driver stops before it answers, a change is
    /// reported as undecided and a read as refused.
    pub async fn ask(&self, id: ChangeId, event: Event) -> Answer {
        let (tx, rx) = oneshot::channel();
        let is_change = matches!(event, Event::OperatorCall { .. });
        let text =
            format!("this node stopped; the change may still be taken, ask with: spindledock change {id}");
        let sent = self.tx.send(Input::Ask(id, event, tx)).is_ok();
        let fallback = || match is_change && sent {
            true => Answer::new(504, "outcome-unknown", &text, 2),
            false => Answer::new(503, "stopping", "this node is stopping; ask another", 1),
        };
        rx.await.unwrap_or_else(|_| fallback())
    }

    /// The status of the node as a JSON document; empty if the driver has stopped.
    pub async fn status(&self) -> String {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Status(tx));
        rx.await.unwrap_or_else(|_| "{}".into())
    }
}

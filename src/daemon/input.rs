//! What enters a node's driver, and the handle by which the rest of the process reaches it.

use crate::kernel::ids::ChangeId;
use crate::kernel::lanes::{Class, Lane, class_of, class_of_message};
use crate::msg::*;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use tokio::sync::oneshot;

pub enum Input {
    Event(Event),
    Envelope(Box<Envelope>),
    Ask(ChangeId, Event, oneshot::Sender<Answer>),
    Status(oneshot::Sender<String>),
    Seeds(Vec<SocketAddr>),
    Synced { incarnation: u64, up_to: u64 },
    Stop,
}

impl Input {
    /// How it is queued before the node.
    pub fn class(&self) -> Class {
        match self {
            Input::Event(event) => class_of(event),
            Input::Envelope(envelope) => class_of_message(envelope.from, &envelope.msg),
            Input::Synced { .. } | Input::Stop => Class::kept(Lane::Chain),
            Input::Ask(..) | Input::Status(_) | Input::Seeds(_) => Class::kept(Lane::Serving),
        }
    }
}

#[derive(Clone)]
pub struct NodeHandle {
    pub tx: Sender<Input>,
}

impl NodeHandle {
    pub fn send(&self, event: Event) {
        let _ = self.tx.send(Input::Event(event));
    }

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

    pub async fn status(&self) -> String {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Status(tx));
        rx.await.unwrap_or_else(|_| "{}".into())
    }
}

//! What a node asks of its driver: messages, writes, answers, and deeds of the rest of the process.

use super::driver::Driver;
use super::keep::show;
use crate::kernel::hold::SyncGate;
use crate::kernel::ids::*;
use crate::kernel::lanes::class_of_message;
use crate::kernel::node::Node;
use crate::msg::*;
use crate::wire;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// One life of a node.
pub(super) struct Run {
    pub(super) node: Node,
    pub(super) asks: BTreeMap<ChangeId, Vec<oneshot::Sender<Answer>>>,
    /// What the node sent to itself.
    pub(super) own: VecDeque<Event>,
    pub(super) shown: u64,
    pub(super) hold: SyncGate,
    /// Damaged files that were kept under other names when this life of the node began.
    pub(super) set_aside: Option<String>,
}

impl Driver {
    /// Shows what happened, and carries out the effects of a step; whether the node goes on.
    pub(super) fn carry(&self, r: &mut Run, out: Vec<Effect>) -> bool {
        show(&r.node, &mut r.shown);
        let (out, job) = r.hold.submit(self.clock.now(), out);
        if let (Some(disk), Some(job)) = (&self.disk, job) {
            disk.write(job);
        }
        self.act_all(r, out)
    }

    pub(super) fn act_all(&self, r: &mut Run, out: Vec<Effect>) -> bool {
        for e in out {
            match e {
                Effect::Save(_) | Effect::Rewrite(_) => {}
                Effect::Reset(why) => {
                    log::error!(event = "node-reset", fault = why, remedy = "it joins again as new"; "");
                    if let Some(disk) = &self.disk {
                        let _ = disk.renew().set_aside();
                    }
                    return false;
                }
                Effect::Send { to, msg } if to == r.node.me.node => {
                    let fleet = r.node.views.fleet;
                    r.own.push_back(Event::Message { from: to, fleet, msg });
                }
                Effect::Send { to, msg } => {
                    if let Some(addr) = r.node.views.member(to).map(|c| c.addr) {
                        self.post(&r.node, to, addr, msg);
                    }
                }
                Effect::SendAt { addr, msg } => self.post(&r.node, NodeId(0), addr, msg),
                Effect::Answer { id, answer } => {
                    for tx in r.asks.remove(&id).unwrap_or_default() {
                        let _ = tx.send(answer.clone());
                    }
                }
                other => (self.act)(other),
            }
        }
        true
    }

    fn post(&self, node: &Node, to: NodeId, addr: SocketAddr, msg: Msg) {
        let (from, fleet) = (node.me.node, node.views.fleet);
        let (class, kind) = (class_of_message(from, &msg), msg.kind());
        let envelope = Envelope { from, to, fleet, addr: node.me.addr, msg };
        self.links.send(addr, class, kind, wire::encode_envelope(&envelope));
    }
}

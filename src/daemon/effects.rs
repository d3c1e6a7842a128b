//! Carries out the effects of a node: messages, disk writes, answers, and actions of the rest of the process.

use super::driver::Driver;
use super::node_io::log_journal;
use crate::kernel::hold::SyncGate;
use crate::kernel::ids::*;
use crate::kernel::lanes::class_of_message;
use crate::kernel::node::Node;
use crate::msg::*;
use crate::wire;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// One incarnation of a node, from its start to a reset.
pub(super) struct NodeRun {
    pub(super) node: Node,
    /// The operators who wait for an answer, by the id of their call.
    pub(super) waiting_callers: BTreeMap<ChangeId, Vec<oneshot::Sender<Answer>>>,
    /// Messages that the node has sent to itself.
    pub(super) to_self: VecDeque<Event>,
    /// How many entries of the journal have been logged.
    pub(super) logged_up_to: u64,
    /// Effects that wait until earlier writes are synced.
    pub(super) hold: SyncGate,
    /// The path under which a damaged log was kept when this incarnation began.
    pub(super) set_aside: Option<String>,
}

impl Driver {
    /// Logs new journal entries and carries out the effects of a step. Effects that depend on a disk write wait until it
    /// is synced. Returns whether the node continues.
    pub(super) fn apply_effects(&self, run: &mut NodeRun, out: Vec<Effect>) -> bool {
        log_journal(&run.node, &mut run.logged_up_to);
        let (out, job) = run.hold.submit(self.clock.now(), out);
        if let (Some(disk), Some(job)) = (&self.disk, job) {
            disk.write(job);
        }
        self.carry_out(run, out)
    }

    /// Carries out effects that need not wait; returns whether the node continues.
    pub(super) fn carry_out(&self, run: &mut NodeRun, out: Vec<Effect>) -> bool {
        for effect in out {
            match effect {
                Effect::Save(_) | Effect::Rewrite(_) => {}
                Effect::Reset(why) => {
                    log::error!(event = "node-reset", fault = why, remedy = "it joins again as new"; "");
                    if let Some(disk) = &self.disk {
                        let _ = disk.start_incarnation().set_aside();
                    }
                    return false;
                }
                Effect::Send { to, msg } if to == run.node.me.node => {
                    let fleet = run.node.views.fleet;
                    run.to_self.push_back(Event::Message { from: to, fleet, msg });
                }
                Effect::Send { to, msg } => {
                    if let Some(addr) = run.node.views.member(to).map(|c| c.addr) {
                        self.send_to_peer(&run.node, to, addr, msg);
                    }
                }
                Effect::SendAt { addr, msg } => self.send_to_peer(&run.node, NodeId(0), addr, msg),
                Effect::Answer { id, answer } => {
                    for tx in run.waiting_callers.remove(&id).unwrap_or_default() {
                        let _ = tx.send(answer.clone());
                    }
                }
                other => (self.act)(other),
            }
        }
        true
    }

    /// Queues a message for the node at `addr`.
    fn send_to_peer(&self, node: &Node, to: NodeId, addr: SocketAddr, msg: Msg) {
        let (from, fleet) = (node.me.node, node.views.fleet);
        let (class, kind) = (class_of_message(from, &msg), msg.kind());
        let envelope = Envelope { from, to, fleet, addr: node.me.addr, msg };
        self.links.send(addr, class, kind, wire::encode_envelope(&envelope));
    }
}

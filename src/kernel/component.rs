//! Components: the parts of a node that handle its events, and the context in which they do so.
//!
//! A component sees the time, the identity of the node, the views that all components share, and queues for
//! effects and events. It reads no clock and does no I/O, so a node is deterministic.

use super::ids::*;
use super::journal::Journal;
use super::rand::Rand;
use super::time::{Span, Time};
use crate::chain::view::View;
use crate::fleet::FleetState;
use crate::msg::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity and settings of this node; they do not change while it runs, except `node`, `seeds` and
/// `is_seed`.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Its id.
    pub node: NodeId,
    /// Controller or router.
    pub role: Role,
    /// Its failure domain (zone).
    pub domain: Name,
    /// The address at which it accepts messages.
    pub addr: SocketAddr,
    /// The address at which it accepts operators' calls.
    pub admin: SocketAddr,
    /// Addresses to join the fleet by, without its own.
    pub seeds: Vec<SocketAddr>,
    /// Whether its own address is one of the seeds.
    pub is_seed: bool,
    /// A fixed number of controllers in the chain; 0 derives it from `tolerated_failures`.
    pub core_size: usize,
    /// How many controllers may fail without loss of a change.
    pub tolerated_failures: usize,
    /// Whether it may found a fleet where none is found.
    pub may_found: bool,
    /// How long a router may serve by state that was last proven to be the newest.
    pub freshness_limit: Span,
    /// How long a serving lease runs; the same on all nodes of a fleet.
    pub serving_lease: Span,
    /// When the process started.
    pub started: Time,
}

impl LocalNode {
    /// The number of controllers that vote on views.
    pub fn voter_count(&self) -> usize {
        if self.core_size > 0 { self.core_size } else { 2 * self.tolerated_failures + 1 }
    }

    /// The most controllers that the chain may have.
    pub fn max_chain_length(&self) -> usize {
        if self.core_size > 0 { self.core_size } else { 2 * self.tolerated_failures + 3 }
    }

    /// The fewest controllers that must hold a change before it is acknowledged.
    pub fn required_copies(&self) -> usize {
        self.tolerated_failures + 1
    }

    /// This node as a row of the membership.
    pub fn member(&self) -> Member {
        Member {
            node: self.node,
            role: self.role,
            domain: self.domain.clone(),
            addr: self.addr,
            admin: self.admin,
        }
    }
}

/// What the components of a node know in common, derived from the events that they publish.
#[derive(Clone, Default)]
pub struct Views {
    /// The fleet that this node belongs to; 0 if none.
    pub fleet: FleetId,
    /// The known members, this node included.
    pub members: Arc<Vec<MemberRow>>,
    /// The newest chain view that was heard of.
    pub view: Option<View>,
    /// The replicated state, as far as this node has it.
    pub state: FleetState,
    /// This node's role in the chain.
    pub role: ChainRole,
    /// Changes up to this version may be acknowledged.
    pub released: Version,
}

impl Views {
    /// Applies an event that a component published.
    pub fn apply(&mut self, event: &JournalEvent) {
        match event {
            JournalEvent::Fleet(f) => self.fleet = *f,
            JournalEvent::Members(rows) => self.members = rows.clone(),
            JournalEvent::ViewHeard(v) | JournalEvent::ViewInstalled(v) => {
                if self.older(v) {
                    self.view = Some(v.clone());
                }
            }
            JournalEvent::Committed { at, change } => self.state.fold(*at, change),
            JournalEvent::StateLoaded(state) => self.state = FleetState::clone(state),
            JournalEvent::Role(role) => self.role = *role,
            JournalEvent::Released(upto) => self.released = *upto,
            JournalEvent::Founded | JournalEvent::MemberReady(_) | JournalEvent::Text(..) => {}
            JournalEvent::Submitted(_) | JournalEvent::RunnerMarked(_) => {}
        }
    }

    /// Whether the known view is older than `v`.
    pub fn older(&self, v: &View) -> bool {
        self.view.as_ref().is_none_or(|old| old.no < v.no)
    }

    /// The member with this id.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|r| r.who.node == node).map(|r| &r.who)
    }

    /// The members that are controllers.
    pub fn controllers(&self) -> impl Iterator<Item = &MemberRow> {
        self.members.iter().filter(|r| r.who.role == Role::Controller)
    }
}

/// What a component works with while it handles one event.
pub struct Context<'a> {
    /// The time of this step.
    pub now: Time,
    /// This node.
    pub me: &'a LocalNode,
    /// The free space on the disk.
    pub free_disk_bytes: u64,
    /// Whether a disk write takes too long, or the last one did.
    pub is_disk_slow: bool,
    /// Whether a disk write takes too long right now: messages that depend on it do not leave this node.
    pub is_write_stuck: bool,
    /// The source of random numbers.
    pub rand: &'a mut dyn Rand,
    /// What the components know in common.
    pub views: &'a mut Views,
    /// The event journal of this node.
    pub journal: &'a mut Journal,
    /// Events that components published in this step and that are still to be handled.
    pub events: &'a mut VecDeque<JournalEvent>,
    /// Effects of this step, in order.
    pub effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    /// Sends a message to a member.
    pub fn send(&mut self, to: NodeId, msg: Msg) {
        self.effects.push(Effect::Send { to, msg });
    }

    /// Sends a chain message to a member.
    pub fn chain(&mut self, to: NodeId, msg: ChainMsg) {
        self.send(to, Msg::Chain(msg));
    }

    /// Appends a record to the disk.
    pub fn save(&mut self, record: Record) {
        self.effects.push(Effect::Save(record));
    }

    /// Applies an event to the views, adds it to the journal and queues it for all components. `Role` only
    /// changes the views, `Members` and `Released` are left out of the journal.
    pub fn publish(&mut self, event: JournalEvent) {
        self.views.apply(&event);
        if let JournalEvent::Role(_) = event {
            return;
        }
        if !matches!(event, JournalEvent::Members(_) | JournalEvent::Released(_)) {
            self.journal.add(self.now, event.clone());
        }
        self.events.push_back(event);
    }

    /// Publishes a log event: its name and its text.
    pub fn log_event(&mut self, what: &'static str, text: String) {
        self.publish(JournalEvent::Text(what, text));
    }

    /// Answers an operator's call.
    pub fn answer(&mut self, id: ChangeId, answer: Answer) {
        self.effects.push(Effect::Answer { id, answer });
    }
}

/// A part of a node.
pub trait Component: Send {
    /// Its name, unique in the node.
    fn name(&self) -> &'static str;
    /// Handles an event.
    fn on(&mut self, ev: &Event, ctx: &mut Context);
    /// Key-value pairs for the status of the node.
    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        Vec::new()
    }
}

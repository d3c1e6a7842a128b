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

#[derive(Clone, Debug)]
pub struct LocalNode {
    pub node: NodeId,
    pub role: Role,
    pub domain: Name,
    pub addr: SocketAddr,
    pub admin: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub is_seed: bool,
    pub core_size: usize,
    pub tolerated_failures: usize,
    pub may_found: bool,
    pub freshness_limit: Span,
    /// How long a serving lease runs; the same on all nodes of a fleet.
    pub serving_lease: Span,
    pub started: Time,
}

impl LocalNode {
    pub fn voter_count(&self) -> usize {
        if self.core_size > 0 { self.core_size } else { 2 * self.tolerated_failures + 1 }
    }

    pub fn max_chain_length(&self) -> usize {
        if self.core_size > 0 { self.core_size } else { 2 * self.tolerated_failures + 3 }
    }

    pub fn required_copies(&self) -> usize {
        self.tolerated_failures + 1
    }

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

#[derive(Clone, Default)]
pub struct Views {
    pub fleet: FleetId,
    pub members: Arc<Vec<MemberRow>>,
    pub view: Option<View>,
    pub state: FleetState,
    pub role: ChainRole,
    pub released: Version,
}

impl Views {
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

    pub fn older(&self, v: &View) -> bool {
        self.view.as_ref().is_none_or(|old| old.no < v.no)
    }

    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|r| r.who.node == node).map(|r| &r.who)
    }

    pub fn controllers(&self) -> impl Iterator<Item = &MemberRow> {
        self.members.iter().filter(|r| r.who.role == Role::Controller)
    }
}

pub struct Context<'a> {
    pub now: Time,
    pub me: &'a LocalNode,
    pub free_disk_bytes: u64,
    pub is_disk_slow: bool,
    /// Whether a write has been under way for too long: nothing that depends on it leaves this node.
    pub is_write_stuck: bool,
    pub rand: &'a mut dyn Rand,
    pub views: &'a mut Views,
    pub journal: &'a mut Journal,
    pub events: &'a mut VecDeque<JournalEvent>,
    pub effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub fn send(&mut self, to: NodeId, msg: Msg) {
        self.effects.push(Effect::Send { to, msg });
    }

    pub fn chain(&mut self, to: NodeId, msg: ChainMsg) {
        self.send(to, Msg::Chain(msg));
    }

    pub fn save(&mut self, record: Record) {
        self.effects.push(Effect::Save(record));
    }

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

    pub fn log_event(&mut self, what: &'static str, text: String) {
        self.publish(JournalEvent::Text(what, text));
    }

    pub fn answer(&mut self, id: ChangeId, answer: Answer) {
        self.effects.push(Effect::Answer { id, answer });
    }
}

pub trait Component: Send {
    fn name(&self) -> &'static str;
    fn on(&mut self, ev: &Event, ctx: &mut Context);
    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        Vec::new()
    }
}

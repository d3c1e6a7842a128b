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
pub struct Me {
    pub node: NodeId,
    pub role: Role,
    pub domain: Name,
    pub addr: SocketAddr,
    pub admin: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub seed: bool,
    pub core: usize,
    pub bear: usize,
    pub first: bool,
    pub proof: Span,
    pub started: Time,
}

impl Me {
    pub fn votes(&self) -> usize {
        if self.core > 0 { self.core } else { 2 * self.bear + 1 }
    }

    pub fn most(&self) -> usize {
        if self.core > 0 { self.core } else { 2 * self.bear + 3 }
    }

    pub fn need(&self) -> usize {
        self.bear + 1
    }

    pub fn card(&self) -> Colleague {
        Colleague {
            node: self.node,
            role: self.role,
            domain: self.domain.clone(),
            addr: self.addr,
            admin: self.admin,
        }
    }
}

#[derive(Default)]
pub struct Views {
    pub fleet: FleetId,
    pub book: Arc<Vec<Row>>,
    pub view: Option<View>,
    pub state: FleetState,
    pub post: Post,
}

impl Views {
    pub fn fold(&mut self, note: &Note) {
        match note {
            Note::Fleet(f) => self.fleet = *f,
            Note::Book(rows) => self.book = rows.clone(),
            Note::Heard(v) | Note::View(v) => {
                if self.older(v) {
                    self.view = Some(v.clone());
                }
            }
            Note::Fold { at, change } => self.state.fold(*at, change),
            Note::Load(state) => self.state = FleetState::clone(state),
            Note::Post(post) => self.post = *post,
            Note::Text(..) | Note::Submit(_) | Note::Marked(_) => {}
        }
    }

    pub fn older(&self, v: &View) -> bool {
        self.view.as_ref().is_none_or(|old| old.no < v.no)
    }

    pub fn card(&self, node: NodeId) -> Option<&Colleague> {
        self.book.iter().find(|r| r.who.node == node).map(|r| &r.who)
    }

    pub fn controllers(&self) -> impl Iterator<Item = &Row> {
        self.book.iter().filter(|r| r.who.role == Role::Controller)
    }
}

pub struct Kit<'a> {
    pub now: Time,
    pub me: &'a Me,
    pub room: u64,
    pub slow: bool,
    pub rand: &'a mut dyn Rand,
    pub views: &'a mut Views,
    pub journal: &'a mut Journal,
    pub notes: &'a mut VecDeque<Note>,
    pub out: &'a mut Vec<Effect>,
}

impl Kit<'_> {
    pub fn send(&mut self, to: NodeId, msg: Msg) {
        self.out.push(Effect::Send { to, msg });
    }

    pub fn chain(&mut self, to: NodeId, msg: ChainMsg) {
        self.send(to, Msg::Chain(msg));
    }

    pub fn save(&mut self, record: Record) {
        self.out.push(Effect::Save(record));
    }

    pub fn note(&mut self, note: Note) {
        self.views.fold(&note);
        if let Note::Post(_) = note {
            return;
        }
        if !matches!(note, Note::Book(_)) {
            self.journal.add(self.now, note.clone());
        }
        self.notes.push_back(note);
    }

    pub fn say(&mut self, what: &'static str, text: String) {
        self.note(Note::Text(what, text));
    }

    pub fn answer(&mut self, id: ChangeId, answer: Answer) {
        self.out.push(Effect::Answer { id, answer });
    }
}

pub trait Part: Send {
    fn name(&self) -> &'static str;
    fn on(&mut self, ev: &Event, kit: &mut Kit);
    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        Vec::new()
    }
}

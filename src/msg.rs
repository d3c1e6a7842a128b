use crate::chain::view::View;
pub use crate::colleagues::card::*;
use crate::fleet::holdings::{HeldRow, HeldTell, Want};
use crate::fleet::runner::{Report, Runner};
use crate::fleet::slice::Slice;
use crate::fleet::state::*;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::news::past::Body;
pub use crate::tell::*;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Letter {
    pub from: NodeId,
    pub to: NodeId,
    pub fleet: FleetId,
    pub addr: SocketAddr,
    pub msg: Msg,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Entry {
    pub at: Version,
    pub view: ViewNo,
    pub change: Change,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Msg {
    Hello { me: Colleague, empty: bool, digest: u64 },
    Welcome { empty: bool, gossip: Option<Box<Gossip>> },
    Ping(Box<Gossip>),
    Pong(Box<Gossip>),
    Gossip(Box<Gossip>),
    Doubt { who: Vec<NodeId> },
    Sync,
    Chain(ChainMsg),
    NewsAsk { nonce: u64, direct: bool, have: Vec<(Scope, Version)> },
    NewsTell { nonce: u64, items: Vec<NewsItem> },
    NewsPush { items: Vec<NewsItem> },
    NewsNo { nonce: u64, view: Option<View> },
    Op { id: ChangeId, op: Op },
    OpEnd { id: ChangeId, answer: Answer },
    Ask { id: ChangeId, path: String },
    Tell(Box<RouterTell>),
    Nudge,
    Want(Vec<Want>),
    Held(Box<HeldTell>),
    HeldAsk,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct NewsItem {
    pub scope: Scope,
    pub at: Version,
    pub age: Span,
    pub body: Body,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Op {
    Whole { base: Option<Version>, text: String },
    Part { base: Option<Version>, text: String },
    Foreign { base: u64, part: bool, text: String },
    Runners(Vec<Runner>),
    Leaving(Name),
    Propose,
    Accept(Version),
    Move { service: Name, model: Name, from: Name, to: Name, want: Name },
    Internal(Change),
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_s: u64,
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ChainMsg {
    Pledge { fleet: FleetId, members: Vec<NodeId>, sent: Time },
    Pledged { fleet: FleetId, sent: Time },
    Append { view: ViewNo, first: bool, upto: Version, entries: Vec<Entry> },
    Have { view: ViewNo, synced: Version, done: Version, low: Version },
    Beat { view: ViewNo, room: bool, deaf: bool },
    Join { have: Version, following: bool },
    Met,
    Snapshot { at: Version, state: Box<FleetState> },
    Follow { entries: Vec<Entry>, done: Version },
    Prepare { no: ViewNo, ballot: Ballot, lost: Option<NodeId>, quiet: Span },
    Promise { no: ViewNo, ballot: Ballot, taken: Option<(Ballot, View)> },
    Accept { ballot: Ballot, view: View },
    Accepted { no: ViewNo, ballot: Ballot },
    Nack { no: ViewNo, ballot: Ballot },
    Decide { view: View },
    TermAsk { view: ViewNo, sent: Time },
    TermGrant { view: ViewNo, sent: Time },
}

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum Record {
    Ident { node: NodeId },
    Fleet { fleet: FleetId },
    Pledge { fleet: FleetId, members: Vec<NodeId> },
    View { view: View },
    Promise { no: ViewNo, ballot: Ballot },
    Accept { ballot: Ballot, view: View },
    Entry { entry: Box<Entry> },
    Ready { view: ViewNo },
    Snapshot { at: Version, tag: ViewNo, state: Box<FleetState> },
    Book { rows: Vec<Colleague> },
}

#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Post {
    pub head: bool,
    pub tail: bool,
    pub ready: bool,
    pub copies: usize,
    pub need: usize,
    pub safe: bool,
    pub spare: bool,
    pub until: Time,
    pub last: Version,
}

#[derive(Clone, Debug)]
pub enum Note {
    Fleet(FleetId),
    Book(Arc<Vec<Row>>),
    Heard(View),
    View(View),
    Fold { at: Version, change: Arc<Change> },
    Load(Arc<FleetState>),
    Submit(Arc<Change>),
    Post(Post),
    Marked(Name),
    Text(&'static str, String),
}

#[derive(Clone, Debug)]
pub enum Event {
    Start,
    Tick,
    Mail { from: NodeId, fleet: FleetId, msg: Msg },
    Op { id: ChangeId, op: Op },
    Ask { id: ChangeId, path: String },
    Report { instance: Name, report: Option<Report> },
    Ordered { order: OrderId, status: u16 },
    RouterState(Box<RouterTell>),
    Listed(Vec<Runner>),
    Wanted(Want),
    Warned,
    Note(Note),
}

#[derive(Clone, Debug)]
pub struct RunnerOrder {
    pub order: OrderId,
    pub term: Term,
    pub runner: Runner,
    pub load: bool,
    pub name: Name,
    pub adapter: bool,
    pub due: Time,
}

#[derive(Clone, Debug)]
pub enum Effect {
    Send { to: NodeId, msg: Msg },
    SendAt { addr: SocketAddr, msg: Msg },
    Save(Record),
    Rewrite(Vec<Record>),
    Reset(String),
    Answer { id: ChangeId, answer: Answer },
    Drive(RunnerOrder),
    Routers(u64),
    Watch(Vec<Runner>),
    Holds(bool),
    Look(Name),
    Held(Vec<HeldRow>),
    Mark(Name),
    Ready(bool),
    Learn { scope: Scope, at: Version, slice: Option<Slice>, proven: Time },
}

impl Note {
    pub fn text(&self) -> Option<(&'static str, String)> {
        match self {
            Note::Text(what, text) => Some((what, text.clone())),
            _ => None,
        }
    }
}

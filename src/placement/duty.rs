use super::flights::{Flight, Flights, is_adapter};
use crate::colleagues::part::SUSPECT;
use crate::daemon::assemble::Policy;
use crate::fleet::plan::Step;
use crate::fleet::runner::Report;
use crate::fleet::slice::{DutySlice, Slice};
use crate::fleet::state::*;
use crate::kernel::ids::*;
use crate::kernel::part::{Kit, Part};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::news::Reader;
use crate::news::reader::Topic;
use std::collections::BTreeMap;
use std::sync::Arc;

const ASK: Span = Span::ms(200);
const ASK_SOON: Span = Span::ms(60);
pub const ORDER_FRESH: Span = Span::ms(1000);
pub const QUIET: Span = Span::ms(4000);
pub const REPORT: Span = Span::ms(1500);

pub struct Placement {
    pub reader: Reader,
    pub slice: Option<DutySlice>,
    pub proven: Time,
    pub reports: BTreeMap<Name, (Time, Report)>,
    pub tells: BTreeMap<NodeId, (Time, RouterTell)>,
    pub flights: Flights,
    pub term: Term,
    pub may_from: Time,
    pub phases: BTreeMap<MoveId, (Phase, Time, u64)>,
    pub sent: BTreeMap<MoveId, Time>,
    pub planned: Time,
    pub wanted: BTreeMap<Name, Time>,
    pub policy: Policy,
    pub rows: BTreeMap<PlanId, super::drive::Row>,
    pub claims: BTreeMap<Name, Time>,
    pub unseen: BTreeMap<PlanId, (Time, Vec<Step>)>,
    pub cleared: Time,
    pub refused_at: Time,
    pub asked_plan: Option<(ChangeId, Time)>,
    asked: Time,
    named: Time,
    warned: bool,
    pub bare_plain: bool,
}

impl Placement {
    pub fn new(now: Time, policy: Policy) -> Placement {
        let mut reader = Reader::new(now);
        reader.topics.insert(Scope::Duty, Topic::default());
        Placement {
            reader,
            slice: None,
            proven: Time(0),
            reports: BTreeMap::new(),
            tells: BTreeMap::new(),
            flights: Flights::default(),
            term: Term(0),
            may_from: Time(u64::MAX),
            phases: BTreeMap::new(),
            sent: BTreeMap::new(),
            planned: Time(0),
            wanted: BTreeMap::new(),
            policy,
            rows: BTreeMap::new(),
            claims: BTreeMap::new(),
            unseen: BTreeMap::new(),
            cleared: Time(0),
            refused_at: Time(0),
            asked_plan: None,
            asked: Time(0),
            named: Time(0),
            warned: false,
            bare_plain: false,
        }
    }

    pub fn may_order(&self, now: Time) -> bool {
        !self.warned && now >= self.may_from && now.since(self.proven) < ORDER_FRESH
    }

    fn learn(&mut self, me: NodeId, now: Time, slice: DutySlice) {
        let mine = slice.duty.as_ref().filter(|d| d.holder == me).map(|d| d.term);
        match mine {
            Some(term) if term != self.term => {
                self.term = term;
                self.may_from = now + QUIET;
                self.flights = Flights::default();
                self.flights.start(now + QUIET);
                self.phases.clear();
                self.rows.clear();
                self.claims.clear();
                self.unseen.clear();
            }
            Some(_) => {}
            None => {
                self.term = Term(0);
                self.may_from = Time(u64::MAX);
            }
        }
        let listed = |n: &Name| slice.runners.iter().any(|r| r.instance == *n);
        self.reports.retain(|n, _| listed(n));
        self.slice = Some(slice);
    }

    fn ask(&mut self, kit: &mut Kit) {
        let lively =
            self.term != Term(0) && self.slice.as_ref().is_some_and(|s| s.plans.iter().any(|p| p.live()));
        if kit.now.since(self.asked) < if lively { ASK_SOON } else { ASK } {
            return;
        }
        self.asked = kit.now;
        let Some(tail) = kit.views.view.as_ref().and_then(|v| v.tail()) else { return };
        let nonce = self.reader.ask(kit.now);
        let have = vec![(Scope::Duty, self.reader.have(&Scope::Duty))];
        kit.send(tail, Msg::NewsAsk { nonce, direct: true, have });
    }

    fn name_holder(&mut self, kit: &mut Kit) {
        let post = kit.views.post;
        if !post.head || !post.ready || post.copies < 2 || kit.now.since(self.named) < Span::ms(1500) {
            return;
        }
        let Some(view) = kit.views.view.clone() else { return };
        let live = |n: NodeId| {
            n == kit.me.node || kit.views.book.iter().any(|r| r.who.node == n && r.quiet < SUSPECT)
        };
        let holder = kit.views.state.duty.as_ref().map(|d| d.holder);
        if holder.is_some_and(|h| view.has(h) && live(h)) {
            return;
        }
        let rank: Vec<NodeId> = view.chain.iter().rev().copied().filter(|n| live(*n)).collect();
        if let Some(next) = rank.first() {
            self.named = kit.now;
            kit.say("duty-named", format!("{next} holds placement next"));
            kit.note(Note::Submit(Arc::new(Change::Duty { holder: *next })));
        }
    }

    fn hand_over(&mut self, kit: &mut Kit) {
        self.warned = true;
        if self.term == Term(0) {
            return;
        }
        let Some(view) = kit.views.view.clone() else { return };
        let next = view.chain.iter().rev().find(|n| **n != kit.me.node).copied();
        if let Some(next) = next {
            kit.say("duty-handed", format!("{next} is named successor"));
            self.tell_head(Change::Duty { holder: next }, kit);
        }
    }

    pub fn order(&mut self, runner: &Name, name: &Name, load: bool, kit: &mut Kit) -> bool {
        let Some(s) = &self.slice else { return false };
        let Some(r) = s.runners.iter().find(|r| r.instance == *runner).cloned() else { return false };
        if self.flights.has(runner, name) || !self.may_order(kit.now) {
            return false;
        }
        if load {
            let rule = s.config.store.clone();
            self.flights.fill(kit.now, &rule);
            if self.flights.store < 1.0 {
                return false;
            }
            self.flights.store -= 1.0;
        }
        let adapter = is_adapter(&s.config, name);
        let mb = s.config.weight(name).unwrap_or(0);
        let order = OrderId(kit.rand.next() | 1);
        let flight = Flight {
            runner: runner.clone(),
            name: name.clone(),
            load,
            since: kit.now,
            mb,
            adapter,
            answered: false,
        };
        self.flights.rows.insert(order, flight);
        let due = self.proven + ORDER_FRESH;
        let term = self.term;
        let what = if load { "load" } else { "unload" };
        kit.say("runner-order", format!("{what} {name} on {runner} under {term}"));
        let name = name.clone();
        kit.out.push(Effect::Drive(RunnerOrder { order, term, runner: r, load, name, adapter, due }));
        true
    }
}

impl Part for Placement {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn on(&mut self, ev: &Event, kit: &mut Kit) {
        match ev {
            Event::Tick => {
                self.ask(kit);
                self.name_holder(kit);
                if self.may_order(kit.now) {
                    self.work(kit);
                }
            }
            Event::Mail { msg: Msg::NewsTell { nonce, items }, .. } => {
                for l in self.reader.told(*nonce, items) {
                    if let Some(Slice::Duty(s)) = l.slice {
                        let s = *s;
                        kit.out.push(Effect::Watch(self.reporting(&s)));
                        self.learn(kit.me.node, kit.now, s);
                        kit.out.push(Effect::Holds(self.term != Term(0)));
                    }
                    self.proven = self.proven.max(l.proven);
                }
            }
            Event::Mail { from, msg: Msg::Tell(tell), .. } => {
                self.tells.insert(*from, (kit.now, (**tell).clone()));
                self.tells.retain(|_, row| kit.now.since(row.0) < Span::ms(5000));
            }
            Event::Report { instance, report: Some(r) } => {
                self.flights.told(kit.now, r);
                if r.leaving {
                    kit.note(Note::Marked(instance.clone()));
                }
                self.reports.insert(instance.clone(), (kit.now, r.clone()));
            }
            Event::Listed(list) => self.listed(list, kit),
            Event::Ordered { order, status } => self.flights.answered(kit.now, *order, *status),
            Event::Warned => self.hand_over(kit),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("term", self.term.to_string()),
            ("may_order", self.may_order(now).to_string()),
            ("in_flight", self.flights.rows.len().to_string()),
            ("store_left", format!("{:.1}", self.flights.store)),
        ]
    }
}

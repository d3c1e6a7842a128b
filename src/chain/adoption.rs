use super::change_queue::ChangeQueue;
use super::reply::faults;
use crate::fleet::FleetConfig;
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::route_rows;
use crate::fleet::state::{Change, StageFigure};
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::seam::OperatorSide;
use std::collections::BTreeMap;
use std::sync::Arc;

const AGAIN: Span = Span::ms(2000);
const EARLY: Span = Span::ms(600);
const INBOX: usize = 64;
const LIVE: Span = Span::ms(6000);

#[derive(Clone)]
struct Waiting {
    id: ChangeId,
    base: u64,
    part: bool,
    text: String,
    since: Time,
}

/// Changes that come in an operator's own format: one is under way at a time, in the order of their bases.
#[derive(Clone, Default)]
pub struct Foreign {
    side: Option<Arc<dyn OperatorSide>>,
    rows: Vec<Waiting>,
    going: Option<(ChangeId, Time)>,
    live: BTreeMap<NodeId, (Time, Vec<LiveRoute>)>,
}

impl Foreign {
    pub fn new(side: Option<Arc<dyn OperatorSide>>) -> Foreign {
        Foreign { side, ..Foreign::default() }
    }

    pub fn waits(&self, id: ChangeId) -> bool {
        self.rows.iter().any(|r| r.id == id) || self.going.is_some_and(|g| g.0 == id)
    }

    pub fn folded(&mut self, id: ChangeId) {
        if self.going.is_some_and(|g| g.0 == id) {
            self.going = None;
        }
    }

    pub fn told(&mut self, from: NodeId, now: Time, tell: &RouterTell) {
        if self.side.is_some() && !tell.live.is_empty() {
            self.live.insert(from, (now, tell.live.clone()));
            self.live.retain(|_, row| now.since(row.0) < LIVE);
        }
    }

    /// What the candidate would do to the orders that routers took lately. It is told, and refuses nothing.
    fn rehearse(&self, c: &FleetConfig, now: Time) -> StageFigure {
        let table = RouteTable::from(route_rows(c));
        let (mut planned, mut refused, mut moved, mut why) = (0, 0, 0, String::new());
        let rows = self.live.values().filter(|r| now.since(r.0) < LIVE).flat_map(|r| &r.1);
        for l in rows {
            planned += l.orders;
            match table.find(&l.host, &l.prefix) {
                None => {
                    refused += l.orders;
                    why = format!(" no route is left for {}{}", l.host, l.prefix);
                }
                Some(r) if !r.leads_to(&l.service) => moved += l.orders,
                Some(_) => {}
            }
        }
        let note = format!("planned={planned} refused={refused} moved={moved}{why}");
        StageFigure { name: "rehearse".into(), ms: 0, ms_allowed: 0, tries: 1, tries_allowed: 1, note }
    }

    pub fn clear(&mut self) {
        self.rows.clear();
        self.going = None;
    }
}

impl ChangeQueue {
    pub fn foreign_op(&mut self, id: ChangeId, op: &Op, ctx: &mut Context) {
        let Op::Foreign { base, part, text } = op else { return };
        if self.foreign.rows.len() >= INBOX {
            let text = "too many changes wait; this one was not taken, send it again later";
            return self.end(id, Answer::new(429, "inbox-full", text, 1), ctx);
        }
        let row = Waiting { id, base: *base, part: *part, text: text.clone(), since: ctx.now };
        self.foreign.rows.push(row);
        self.foreign_work(ctx);
    }

    pub fn foreign_work(&mut self, ctx: &mut Context) {
        if self.foreign.going.is_some_and(|g| ctx.now.since(g.1) < AGAIN) {
            return;
        }
        self.foreign.going = None;
        let now = ctx.views.state.config.revision;
        let mut n = 0;
        while n < self.foreign.rows.len() {
            let w = &self.foreign.rows[n];
            if w.base > now && w.base != u64::MAX && ctx.now.since(w.since) < EARLY {
                n += 1;
                continue;
            }
            let w = self.foreign.rows.remove(n);
            if self.foreign_try(w, now, ctx) {
                return;
            }
        }
    }

    fn foreign_try(&mut self, w: Waiting, now: u64, ctx: &mut Context) -> bool {
        let Some(side) = self.foreign.side.clone() else {
            let text = "this node takes configurations in the product's own format only";
            self.end(w.id, Answer::new(400, "bad-order", text, 0), ctx);
            return false;
        };
        if w.base != now && w.base != u64::MAX {
            let text =
                format!("it builds on {}; the current revision is {now}; read it and send again", w.base);
            self.end(w.id, Answer::new(409, "stale-base", &text, 0), ctx);
            return false;
        }
        let config = match side.read(&ctx.views.state.config, &w.text, w.part) {
            Ok(c) => c,
            Err(bad) => {
                ctx.log_event("change-refused", format!("{} {}", w.id, bad[0]));
                self.end(w.id, faults(&bad), ctx);
                return false;
            }
        };
        if config.revision <= now {
            let text = format!("its revision {} is not above the current {now}; raise it", config.revision);
            self.end(w.id, Answer::new(400, "old-revision", &text, 0), ctx);
            return false;
        }
        let stage = self.foreign.rehearse(&config, ctx.now);
        ctx.log_event("change-taken-in", format!("{} revision {} {}", w.id, config.revision, stage.note));
        self.foreign.going = Some((w.id, ctx.now));
        self.submit(
            w.id,
            Change::Adopt { id: w.id, base: now, config: Box::new(config), stages: vec![stage] },
            ctx,
        );
        true
    }
}

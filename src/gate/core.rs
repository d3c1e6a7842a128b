use super::budget::Tries;
use super::health::Health;
use super::held::{Asker, Used};
use super::inbox::Inbox;
use super::kept::Kept;
use super::order::{Order, Plan, Refusal, Why};
use super::pace::Pace;
use crate::distribution::reader::FRESHNESS_LIMIT;
use crate::fleet::routes::RouteTable;
use crate::fleet::runner::Runner;
use crate::fleet::slice::ServiceSlice;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::MoveProgress;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const STALE_WAIT: Span = Span::ms(1500);
pub const BARE_WAIT: Span = Span::ms(3000);

pub struct Gate {
    pub name: Name,
    pub domain: Name,
    pub at: Version,
    pub slice: Option<Arc<ServiceSlice>>,
    pub proof: Span,
    pub proven: Time,
    pub routes_proven: Time,
    pub leased_until: Time,
    pub routes_leased_until: Time,
    pub routes: (Version, Arc<RouteTable>),
    pub gone: bool,
    pub stopping: bool,
    pub health: BTreeMap<Name, Health>,
    pub inbox: Inbox,
    pub tries: Tries,
    pub routers: u64,
    pub active: BTreeMap<(Name, Name), u64>,
    pub moves: BTreeMap<MoveId, MoveProgress>,
    pub demand: BTreeMap<String, BTreeMap<u64, Time>>,
    pub uses: BTreeMap<String, Used>,
    pub asker: Option<Asker>,
    pub pace: Pace,
    pub waits: Span,
    pub counts: BTreeMap<&'static str, u64>,
    pub kept: Kept,
    pub bare_plain: bool,
}

impl Gate {
    pub fn new(name: Name, domain: Name) -> Gate {
        Gate {
            name,
            domain,
            at: Version(0),
            slice: None,
            proof: FRESHNESS_LIMIT,
            proven: Time(0),
            routes_proven: Time(0),
            leased_until: Time(0),
            routes_leased_until: Time(0),
            routes: Default::default(),
            gone: false,
            stopping: false,
            health: BTreeMap::new(),
            inbox: Inbox::default(),
            tries: Tries::default(),
            routers: 1,
            active: BTreeMap::new(),
            moves: BTreeMap::new(),
            demand: BTreeMap::new(),
            uses: BTreeMap::new(),
            asker: None,
            pace: Pace::default(),
            waits: Span(0),
            counts: BTreeMap::new(),
            kept: Kept::default(),
            bare_plain: false,
        }
    }

    /// Whether the service and the routes may be served by: both by a proof, or by a serving lease.
    pub fn is_fresh(&self, now: Time) -> bool {
        let service = now.since(self.proven) < self.proof || now < self.leased_until;
        let routes = now.since(self.routes_proven) < self.proof || now < self.routes_leased_until;
        self.slice.is_some() && service && routes
    }

    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    pub fn check(&self, now: Time, order: &Order, runner: &Name) -> Result<(), Why> {
        if now >= order.due {
            return Err(Why::Due);
        }
        if !self.is_fresh(now) {
            return Err(Why::Stale);
        }
        self.admits(order)?;
        let listed = self.slice.as_ref().and_then(|s| s.runners.iter().find(|r| r.instance == *runner));
        let h = self.health.get(runner);
        if listed.is_none_or(|r| r.leaving) || h.is_some_and(|h| h.leaving) {
            return Err(Why::NoRunner);
        }
        Ok(())
    }

    pub fn plan(&mut self, now: Time, order: &Order, avoid: &[Name]) -> Plan {
        if now >= order.due {
            return Plan::Refuse(Refusal::new(Why::Due, 1));
        }
        let plan = self.nominate(now, order, avoid);
        if let Plan::Send(r) = &plan {
            self.take(now, r, order);
        }
        if let Plan::Wait("no-holder") = plan {
            self.seek(now, order);
        }
        if let Plan::Wait("no-holder" | "busy") = plan {
            self.want(now, order);
        }
        plan
    }

    pub fn enter(&mut self, now: Time, order: &Order) -> Plan {
        if self.stopping {
            return Plan::Refuse(Refusal::new(Why::Stopping, 1));
        }
        self.pace.came(now, &order.model, order.class);
        self.used(now, order);
        let first = self.inbox.keys().first().is_some_and(|k| k.0 <= order.urgency());
        let plan = if first && self.inbox.len() > 32 {
            match self.nominate(now, order, &[]) {
                Plan::Send(_) => Plan::Wait("behind-others"),
                plan => {
                    if let Plan::Wait("no-holder") = plan {
                        self.seek(now, order);
                        self.want(now, order);
                    }
                    plan
                }
            }
        } else {
            self.plan(now, order, &[])
        };
        let ahead = self.inbox.ahead(order);
        self.settle(now, order, plan, ahead)
    }

    pub fn take(&mut self, now: Time, r: &Runner, order: &Order) {
        let h = self.health.entry(r.instance.clone()).or_default();
        h.mine += 1;
        self.pace.sent(now, &order.model);
        self.kept.sent(&r.instance, order);
        *self.active.entry((r.instance.clone(), Name(order.model.to_string()))).or_default() += 1;
    }

    pub fn ended(&mut self, model: &str, held: Span) {
        self.pace.ended(model, held);
    }

    pub fn release(&mut self, now: Time, runner: &Name, model: &str, good: Option<bool>) {
        self.give_back(runner, model);
        let h = self.health.entry(runner.clone()).or_default();
        match good {
            Some(true) => h.good(),
            Some(false) => h.bad(now),
            None => {}
        }
        self.wake(now);
    }
}

//! The router's side: asks the owners for tokens, one question at a time at each of them.
#![deny(missing_docs)]

use super::flight::Flight;
use super::messages::{Acquire, AcquireKey, AcquireRow, ConstraintMsg, GrantedRow};
use super::ownership::owner_of;
use super::settings::QuotaSettings;
use super::shares::{Grant, QuotaDemand};
use crate::chain::view::View;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::{Name, NodeId};
use crate::kernel::time::{Span, Time};
use crate::msg::{Effect, Event, JournalEvent, Msg};
use std::collections::BTreeMap;

/// How long a node that doesn't own, or not yet, is not asked.
const NOT_OWNER_PAUSE: Span = Span::ms(100);
/// How soon the rest of what was asked for is asked for again.
const REST_PAUSE: Span = Span::ms(200);
/// A second in microseconds.
const SECOND: u64 = 1_000_000;

/// What is to be asked for.
#[derive(Clone, Copy, Default, Debug)]
struct Wanted {
    needed: u32,
    ahead: u32,
    not_before: Time,
}

#[derive(Clone, Copy, Default, Debug)]
struct Counts {
    asked: u64,
    resent: u64,
    answered: u64,
    given_up: u64,
    wait_most: Span,
    wait_sum: Span,
}

/// Component of the routers.
pub struct QuotaClient {
    settings: QuotaSettings,
    wanted: BTreeMap<Name, Wanted>,
    flights: BTreeMap<NodeId, Flight>,
    paused: BTreeMap<NodeId, Time>,
    last_key: AcquireKey,
    counts: Counts,
}

impl QuotaClient {
    /// A client that has asked for nothing.
    pub fn new(settings: QuotaSettings) -> QuotaClient {
        QuotaClient {
            settings,
            wanted: BTreeMap::new(),
            flights: BTreeMap::new(),
            paused: BTreeMap::new(),
            last_key: AcquireKey::default(),
            counts: Counts::default(),
        }
    }

    fn add(&mut self, demand: &QuotaDemand) {
        let lease = self.settings.grant_lease().0;
        let ahead = (u64::from(demand.last_second) * lease / SECOND) as u32;
        if demand.needed == 0 && ahead == 0 {
            return;
        }
        let wanted = self.wanted.entry(demand.tenant.clone()).or_default();
        wanted.needed = wanted.needed.saturating_add(demand.needed);
        wanted.ahead = ahead;
    }

    /// Asks each owner that has no question under way for all that is wanted of it.
    fn ask(&mut self, ctx: &mut Context) {
        let Some(view) = ctx.views.view.clone() else { return };
        let mut questions: BTreeMap<NodeId, Vec<AcquireRow>> = BTreeMap::new();
        for (tenant, wanted) in &self.wanted {
            let Some(owner) = owner_of(&view, tenant) else { continue };
            let pauses = self.paused.get(&owner).is_some_and(|until| ctx.now < *until);
            if !pauses && ctx.now >= wanted.not_before && !self.flights.contains_key(&owner) {
                let Wanted { needed, ahead, .. } = *wanted;
                questions.entry(owner).or_default().push(AcquireRow {
                    tenant: tenant.clone(),
                    needed,
                    ahead,
                });
            }
        }
        for (owner, rows) in questions {
            for row in &rows {
                self.wanted.remove(&row.tenant);
            }
            self.send(owner, rows, ctx);
        }
    }

    fn send(&mut self, owner: NodeId, rows: Vec<AcquireRow>, ctx: &mut Context) {
        self.last_key.0 += 1;
        self.counts.asked += 1;
        let question = Acquire { key: self.last_key, rows };
        self.flights.insert(owner, Flight::new(question.clone(), ctx.now));
        ctx.send(owner, Msg::Constraint(ConstraintMsg::Acquire(question)));
    }

    fn take_flight(&mut self, owner: NodeId, key: AcquireKey) -> Option<Flight> {
        self.flights.get(&owner).filter(|flight| flight.key() == key)?;
        self.flights.remove(&owner)
    }

    fn granted(&mut self, owner: NodeId, key: AcquireKey, rows: &[GrantedRow], ctx: &mut Context) {
        let Some(flight) = self.take_flight(owner, key) else { return };
        self.counts.answered += 1;
        let wait = flight.age(ctx.now);
        self.counts.wait_most = self.counts.wait_most.max(wait);
        self.counts.wait_sum = self.counts.wait_sum + wait;
        let valid_until = flight.valid_until(self.settings.grant_lease());
        let grant = |row: &GrantedRow| Grant {
            tenant: row.tenant.clone(),
            tokens: row.tokens,
            valid_until,
            blocked_until: row.blocked.map(|wait| ctx.now + wait),
        };
        let grants = rows.iter().map(grant).collect();
        ctx.effects.push(Effect::QuotaGranted(grants));
        flight.rows().iter().zip(rows).for_each(|(asked, got)| self.want_rest(asked, got, ctx.now));
        self.ask(ctx);
    }

    /// An owner that has not counted for long gives what it can and blocks nothing: the rest is asked for again.
    fn want_rest(&mut self, asked: &AcquireRow, got: &GrantedRow, now: Time) {
        let rest = asked.needed.saturating_sub(got.tokens);
        if got.blocked.is_none() && rest > 0 {
            let wanted = self.wanted.entry(asked.tenant.clone()).or_default();
            wanted.needed = wanted.needed.saturating_add(rest);
            wanted.not_before = now + REST_PAUSE;
        }
    }

    fn refused(&mut self, owner: NodeId, key: AcquireKey, view: &Option<View>, ctx: &mut Context) {
        if let Some(flight) = self.take_flight(owner, key) {
            self.give_up(flight);
            self.paused.insert(owner, ctx.now + NOT_OWNER_PAUSE);
        }
        self.view_told(view, ctx);
    }

    /// A newer view may name other owners; the node's own change of view asks them.
    fn view_told(&self, view: &Option<View>, ctx: &mut Context) {
        if let Some(newer) = view
            && ctx.views.older(newer)
        {
            ctx.publish(JournalEvent::ViewHeard(newer.clone()));
        }
    }

    /// Asks one of the other members for its view: the owner may have been left out of it.
    fn request_view(&self, silent: NodeId, ctx: &mut Context) {
        let Some(view) = &ctx.views.view else { return };
        let others: Vec<NodeId> = view.chain.iter().copied().filter(|node| *node != silent).collect();
        let draw = ctx.rand.below(others.len() as u64) as usize;
        if let Some(other) = others.get(draw) {
            ctx.send(*other, Msg::Constraint(ConstraintMsg::ViewRequest));
        }
    }

    /// What a question asked for is wanted again. Tokens of a late answer are not used.
    fn give_up(&mut self, flight: Flight) {
        self.counts.given_up += 1;
        for row in flight.rows() {
            let wanted = self.wanted.entry(row.tenant.clone()).or_default();
            wanted.needed = wanted.needed.saturating_add(row.needed);
        }
    }

    /// Gives up the questions at nodes that no longer own what is asked for.
    fn view_changed(&mut self, ctx: &mut Context) {
        let Some(view) = ctx.views.view.clone() else { return };
        self.paused.clear();
        let moved = |owner: NodeId, flight: &Flight| {
            flight.rows().iter().any(|row| owner_of(&view, &row.tenant) != Some(owner))
        };
        let flights = std::mem::take(&mut self.flights);
        for (owner, flight) in flights {
            match moved(owner, &flight) {
                true => self.give_up(flight),
                false => drop(self.flights.insert(owner, flight)),
            }
        }
        self.ask(ctx);
    }

    fn tick(&mut self, ctx: &mut Context) {
        let lease = self.settings.grant_lease();
        let owners: Vec<NodeId> = self.flights.keys().copied().collect();
        for owner in owners {
            let Some(flight) = self.flights.get_mut(&owner) else { continue };
            if flight.age(ctx.now) >= lease {
                let flight = self.flights.remove(&owner);
                flight.into_iter().for_each(|flight| self.give_up(flight));
            } else if let Some(question) = flight.resend(ctx.now) {
                self.counts.resent += 1;
                ctx.send(owner, Msg::Constraint(ConstraintMsg::Acquire(question)));
                self.request_view(owner, ctx);
            }
        }
        self.paused.retain(|_, until| ctx.now < *until);
        self.ask(ctx);
    }
}

impl Component for QuotaClient {
    fn name(&self) -> &'static str {
        "quota_client"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::QuotaWanted(demand) => {
                self.add(demand);
                self.ask(ctx);
            }
            Event::Message { from, msg: Msg::Constraint(ConstraintMsg::Granted { key, rows }), .. } => {
                self.granted(*from, *key, rows, ctx)
            }
            Event::Message { from, msg: Msg::Constraint(ConstraintMsg::NotOwner { key, view }), .. } => {
                self.refused(*from, *key, view, ctx)
            }
            Event::Message { msg: Msg::Constraint(ConstraintMsg::ViewReply { view }), .. } => {
                self.view_told(view, ctx)
            }
            Event::Journal(JournalEvent::ViewHeard(_)) => self.view_changed(ctx),
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        let mean = self.counts.wait_sum.0.checked_div(self.counts.answered).unwrap_or(0);
        vec![
            ("asked", self.counts.asked.to_string()),
            ("resent", self.counts.resent.to_string()),
            ("answered", self.counts.answered.to_string()),
            ("given_up", self.counts.given_up.to_string()),
            ("wait_mean_us", mean.to_string()),
            ("wait_most_us", self.counts.wait_most.0.to_string()),
        ]
    }
}

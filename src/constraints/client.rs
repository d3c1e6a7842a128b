//! The router side: acquires tokens from the owners, with one request in progress at each of them.
//!
#![deny(missing_docs)]

use super::flight::PendingAcquire;
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

/// How long a node that is not, or not yet, the owner is not asked.
const NOT_OWNER_PAUSE: Span = Span::ms(100);
/// Pause before tokens that an owner could not grant yet are requested again.
const REST_PAUSE: Span = Span::ms(200);
const SECOND_US: u64 = 1_000_000;

/// Tokens to request for a tenant.
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

/// Component of the routers that acquires quota tokens.
pub struct QuotaClient {
    settings: QuotaSettings,
    wanted: BTreeMap<Name, Wanted>,
    pending_requests: BTreeMap<NodeId, PendingAcquire>,
    paused_until: BTreeMap<NodeId, Time>,
    last_key: AcquireKey,
    counts: Counts,
}

impl QuotaClient {
    /// A client with nothing to request.
    pub fn new(settings: QuotaSettings) -> QuotaClient {
        QuotaClient {
            settings,
            wanted: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            last_key: AcquireKey::default(),
            counts: Counts::default(),
        }
    }

    fn add(&mut self, demand: &QuotaDemand) {
        let lease = self.settings.grant_lease().0;
        let ahead = (u64::from(demand.last_second) * lease / SECOND_US) as u32;
        if demand.needed == 0 && ahead == 0 {
            return;
        }
        let wanted = self.wanted.entry(demand.tenant.clone()).or_default();
        wanted.needed = wanted.needed.saturating_add(demand.needed);
        wanted.ahead = ahead;
    }

    /// Sends each owner without a request in progress one request for all that is wanted of it.
    fn ask(&mut self, ctx: &mut Context) {
        let Some(view) = ctx.views.view.clone() else { return };
        let mut questions: BTreeMap<NodeId, Vec<AcquireRow>> = BTreeMap::new();
        for (tenant, wanted) in &self.wanted {
            let Some(owner) = owner_of(&view, tenant) else { continue };
            let pauses = self.paused_until.get(&owner).is_some_and(|until| ctx.now < *until);
            if !pauses && ctx.now >= wanted.not_before && !self.pending_requests.contains_key(&owner) {
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
        let request = Acquire { key: self.last_key, rows };
        self.pending_requests.insert(owner, PendingAcquire::new(request.clone(), ctx.now));
        ctx.send(owner, Msg::Constraint(ConstraintMsg::Acquire(request)));
    }

    fn take_pending(&mut self, owner: NodeId, key: AcquireKey) -> Option<PendingAcquire> {
        self.pending_requests.get(&owner).filter(|pending| pending.key() == key)?;
        self.pending_requests.remove(&owner)
    }

    fn on_granted(&mut self, owner: NodeId, key: AcquireKey, rows: &[GrantedRow], ctx: &mut Context) {
        let Some(pending) = self.take_pending(owner, key) else { return };
        self.counts.answered += 1;
        let wait = pending.age(ctx.now);
        self.counts.wait_most = self.counts.wait_most.max(wait);
        self.counts.wait_sum = self.counts.wait_sum + wait;
        let valid_until = pending.valid_until(self.settings.grant_lease());
        let grant = |row: &GrantedRow| Grant {
            tenant: row.tenant.clone(),
            tokens: row.tokens,
            valid_until,
            blocked_until: row.blocked.map(|wait| ctx.now + wait),
        };
        let grants = rows.iter().map(grant).collect();
        ctx.effects.push(Effect::QuotaGranted(grants));
        pending.rows().iter().zip(rows).for_each(|(asked, got)| self.request_rest(asked, got, ctx.now));
        self.ask(ctx);
    }

    /// An owner that has not counted for long grants what it can and blocks nothing: the rest is requested again.
    fn request_rest(&mut self, asked: &AcquireRow, got: &GrantedRow, now: Time) {
        let rest = asked.needed.saturating_sub(got.tokens);
        if got.blocked.is_none() && rest > 0 {
            let wanted = self.wanted.entry(asked.tenant.clone()).or_default();
            wanted.needed = wanted.needed.saturating_add(rest);
            wanted.not_before = now + REST_PAUSE;
        }
    }

    fn on_not_owner(&mut self, owner: NodeId, key: AcquireKey, view: &Option<View>, ctx: &mut Context) {
        if let Some(pending) = self.take_pending(owner, key) {
            self.give_up(pending);
            self.paused_until.insert(owner, ctx.now + NOT_OWNER_PAUSE);
        }
        self.on_view(view, ctx);
    }

    /// A newer view may name other owners; the node's own view change then asks them.
    fn on_view(&self, view: &Option<View>, ctx: &mut Context) {
        if let Some(newer) = view
            && ctx.views.older(newer)
        {
            ctx.publish(JournalEvent::ViewHeard(newer.clone()));
        }
    }

    /// Asks another member for its view: a silent owner may have been removed from it.
    fn request_view(&self, silent: NodeId, ctx: &mut Context) {
        let Some(view) = &ctx.views.view else { return };
        let others: Vec<NodeId> = view.chain.iter().copied().filter(|node| *node != silent).collect();
        let draw = ctx.rand.below(others.len() as u64) as usize;
        if let Some(other) = others.get(draw) {
            ctx.send(*other, Msg::Constraint(ConstraintMsg::ViewRequest));
        }
    }

    /// Wants again what a request asked for. Tokens of a late answer are not used.
    fn give_up(&mut self, pending: PendingAcquire) {
        self.counts.given_up += 1;
        for row in pending.rows() {
            let wanted = self.wanted.entry(row.tenant.clone()).or_default();
            wanted.needed = wanted.needed.saturating_add(row.needed);
        }
    }

    /// Gives up requests at nodes that no longer own what they ask for.
    fn on_view_change(&mut self, ctx: &mut Context) {
        let Some(view) = ctx.views.view.clone() else { return };
        self.paused_until.clear();
        let moved = |owner: NodeId, pending: &PendingAcquire| {
            pending.rows().iter().any(|row| owner_of(&view, &row.tenant) != Some(owner))
        };
        let pending_requests = std::mem::take(&mut self.pending_requests);
        for (owner, pending) in pending_requests {
            match moved(owner, &pending) {
                true => self.give_up(pending),
                false => drop(self.pending_requests.insert(owner, pending)),
            }
        }
        self.ask(ctx);
    }

    fn tick(&mut self, ctx: &mut Context) {
        let lease = self.settings.grant_lease();
        let owners: Vec<NodeId> = self.pending_requests.keys().copied().collect();
        for owner in owners {
            let Some(pending) = self.pending_requests.get_mut(&owner) else { continue };
            if pending.age(ctx.now) >= lease {
                let pending = self.pending_requests.remove(&owner);
                pending.into_iter().for_each(|pending| self.give_up(pending));
            } else if let Some(request) = pending.resend(ctx.now) {
                self.counts.resent += 1;
                ctx.send(owner, Msg::Constraint(ConstraintMsg::Acquire(request)));
                self.request_view(owner, ctx);
            }
        }
        self.paused_until.retain(|_, until| ctx.now < *until);
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
                self.on_granted(*from, *key, rows, ctx)
            }
            Event::Message { from, msg: Msg::Constraint(ConstraintMsg::NotOwner { key, view }), .. } => {
                self.on_not_owner(*from, *key, view, ctx)
            }
            Event::Message { msg: Msg::Constraint(ConstraintMsg::ViewReply { view }), .. } => {
                self.on_view(view, ctx)
            }
            Event::Journal(JournalEvent::ViewHeard(_)) => self.on_view_change(ctx),
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

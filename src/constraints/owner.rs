//! The owner of tenants' token buckets: grants tokens under authority, and grants authority as the tail.
//!
#![deny(missing_docs)]

use super::answers::{AcquireStatus, GivenAnswers};
use super::authority::{Authority, may_grant_authority};
use super::counters::Counters;
use super::messages::{Acquire, AcquireKey, AcquireRow, ConstraintMsg, GrantedRow};
use super::settings::QuotaSettings;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::{Name, NodeId, Version, ViewNo};
use crate::kernel::time::{Span, Time};
use crate::msg::{Event, Msg};

/// Shortest time for which a router refuses a blocked tenant, so that a tenant far over its quota causes few requests.
const BLOCKED_LEAST: Span = Span::ms(100);

/// Event counts since the start.
#[derive(Clone, Copy, Default, Debug)]
struct Counts {
    granted: u64,
    blocked: u64,
    repeated: u64,
    unowned: u64,
}

/// Component of the controllers that grants quota tokens.
pub struct QuotaOwner {
    settings: QuotaSettings,
    config_version: Option<Version>,
    counters: Counters,
    authority: Authority,
    answers: GivenAnswers,
    counts: Counts,
}

impl QuotaOwner {
    /// An owner without counters.
    pub fn new(settings: QuotaSettings) -> QuotaOwner {
        QuotaOwner {
            settings,
            config_version: None,
            counters: Counters::default(),
            authority: Authority::default(),
            answers: GivenAnswers::default(),
            counts: Counts::default(),
        }
    }

    /// Follows the view and the configuration.
    fn follow(&mut self, ctx: &Context) {
        let node = ctx.me.node;
        if let Some(view) = ctx.views.view.as_ref().filter(|view| !self.counters.follows_view(view)) {
            self.authority.follow(view.no);
            self.counters.follow_view(view, node, ctx.now);
        }
        let state = &ctx.views.state;
        if self.config_version != Some(state.config_version) {
            self.config_version = Some(state.config_version);
            self.counters.set_limits(self.settings, &state.config, ctx.now);
            self.add_buckets(ctx);
        }
    }

    fn add_buckets(&mut self, ctx: &Context) {
        if let Some(alone_from) = self.authority.exclusive_from() {
            self.counters.add_missing(alone_from.max(ctx.now));
        }
    }

    fn request_counters(&mut self, ctx: &mut Context) {
        let (view, asked) = (self.counters.view_no(), ctx.now);
        for (from, tenants) in self.counters.handover.request(ctx.now) {
            let msg = ConstraintMsg::HandoverRequest { view, asked, tenants };
            ctx.send(from, Msg::Constraint(msg));
        }
    }

    fn on_counters_requested(
        &mut self,
        from: NodeId,
        view: ViewNo,
        asked: Time,
        tenants: &[Name],
        ctx: &mut Context,
    ) {
        if view != self.counters.view_no() {
            return;
        }
        let counters = self.counters.handover.take(tenants);
        ctx.send(from, Msg::Constraint(ConstraintMsg::Handover { view, asked, counters }));
    }

    fn request_authority(&mut self, ctx: &mut Context) {
        let Some(view) = ctx.views.view.as_ref().filter(|view| view.has(ctx.me.node)) else { return };
        let (Some(tail), no) = (view.tail(), view.no) else { return };
        if self.counters.has_no_limits()
            || ctx.views.role.is_isolated
            || !self.authority.begins_renewal(ctx.now)
        {
            return;
        }
        if tail == ctx.me.node {
            if may_grant_authority(no, ctx) {
                self.on_authority_granted(no, ctx.now, ctx);
            }
            return;
        }
        let (sent, config_version) = (ctx.now, ctx.views.state.config_version);
        ctx.send(tail, Msg::Constraint(ConstraintMsg::AuthorityRequest { view: no, sent, config_version }));
    }

    /// The tail grants authority to owners that know the newest limits.
    fn on_authority_requested(
        &self,
        from: NodeId,
        view: ViewNo,
        config_version: Version,
        sent: Time,
        ctx: &mut Context,
    ) {
        if may_grant_authority(view, ctx) && config_version == ctx.views.state.config_version {
            ctx.send(from, Msg::Constraint(ConstraintMsg::AuthorityGrant { view, sent }));
        }
    }

    fn on_authority_granted(&mut self, view: ViewNo, sent: Time, ctx: &Context) {
        self.authority.granted(view, sent, ctx.now);
        self.add_buckets(ctx);
    }

    fn on_acquire(&mut self, router: NodeId, request: &Acquire, ctx: &mut Context) {
        let key = request.key;
        match self.answers.classify(router, key) {
            AcquireStatus::Outdated => return,
            AcquireStatus::Repeated(rows) => {
                self.counts.repeated += 1;
                return answer(router, key, rows, ctx);
            }
            AcquireStatus::New => {}
        }
        if !self.may_answer(request, ctx) {
            self.counts.unowned += 1;
            let view = ctx.views.view.clone();
            return ctx.send(router, Msg::Constraint(ConstraintMsg::NotOwner { key, view }));
        }
        let rows: Vec<GrantedRow> = request.rows.iter().map(|row| self.grant(row, ctx.now)).collect();
        self.answers.add(router, key, rows.clone(), ctx.now);
        answer(router, key, rows, ctx);
    }

    /// Whether this node has authority, owns all tenants of a request, and knows what may still be granted.
    fn may_answer(&self, request: &Acquire, ctx: &Context) -> bool {
        let counts = |row: &AcquireRow| self.counters.counts_for(&row.tenant, ctx.now);
        self.authority.holds(ctx.now) && request.rows.iter().all(counts)
    }

    /// Checks and takes tokens in one step.
    fn grant(&mut self, row: &AcquireRow, now: Time) -> GrantedRow {
        let tenant = row.tenant.clone();
        let Some(bucket) = self.counters.bucket(&tenant) else {
            return GrantedRow { tenant, tokens: row.needed.saturating_add(row.ahead), blocked: None };
        };
        let filling = bucket.is_filling(now);
        let mut tokens = bucket.take(u64::from(row.needed), now) as u32;
        let short = tokens < row.needed;
        if !short && bucket.is_half_full(now) {
            tokens += bucket.take(u64::from(row.ahead), now) as u32;
        }
        self.counts.granted += u64::from(tokens);
        self.counts.blocked += u64::from(short);
        let blocked = (short && !filling).then(|| bucket.next_free(now).max(BLOCKED_LEAST));
        GrantedRow { tenant, tokens, blocked }
    }

    fn tick(&mut self, ctx: &mut Context) {
        self.request_authority(ctx);
        self.request_counters(ctx);
        self.answers.sweep(ctx.now);
    }

    fn on_message(&mut self, from: NodeId, msg: &ConstraintMsg, ctx: &mut Context) {
        match msg {
            ConstraintMsg::AuthorityRequest { view, sent, config_version } => {
                self.on_authority_requested(from, *view, *config_version, *sent, ctx)
            }
            ConstraintMsg::AuthorityGrant { view, sent } => self.on_authority_granted(*view, *sent, ctx),
            ConstraintMsg::Acquire(request) => self.on_acquire(from, request, ctx),
            ConstraintMsg::HandoverRequest { view, asked, tenants } => {
                self.on_counters_requested(from, *view, *asked, tenants, ctx)
            }
            ConstraintMsg::Handover { view, asked, counters } => {
                self.counters.on_handover(from, *view, *asked, counters, ctx.now)
            }
            ConstraintMsg::ViewRequest => {
                let view = ctx.views.view.clone();
                ctx.send(from, Msg::Constraint(ConstraintMsg::ViewReply { view }));
            }
            ConstraintMsg::Granted { .. }
            | ConstraintMsg::NotOwner { .. }
            | ConstraintMsg::ViewReply { .. } => {}
        }
    }
}

fn answer(router: NodeId, key: AcquireKey, rows: Vec<GrantedRow>, ctx: &mut Context) {
    ctx.send(router, Msg::Constraint(ConstraintMsg::Granted { key, rows }));
}

impl Component for QuotaOwner {
    fn name(&self) -> &'static str {
        "quota_owner"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        self.follow(ctx);
        match ev {
            Event::Message { from, msg: Msg::Constraint(msg), .. } => self.on_message(*from, msg, ctx),
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("tenants", self.counters.len().to_string()),
            ("authority_left", self.authority.remaining(now).to_string()),
            ("granted", self.counts.granted.to_string()),
            ("blocked", self.counts.blocked.to_string()),
            ("repeated", self.counts.repeated.to_string()),
            ("not_owner", self.counts.unowned.to_string()),
            ("answers_kept", self.answers.len().to_string()),
        ]
    }
}

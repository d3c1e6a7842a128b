//! The owner of tenants' counters: grants tokens under authority, and gives authority as the tail.
#![deny(missing_docs)]

use super::answers::{GivenAnswers, Question};
use super::authority::{Authority, gives_authority};
use super::bucket::TokenBucket;
use super::messages::{Acquire, AcquireKey, AcquireRow, ConstraintMsg, GrantedRow};
use super::ownership::owner_of;
use super::settings::QuotaSettings;
use crate::fleet::tenants::QuotaLimit;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::{Name, NodeId, Version, ViewNo};
use crate::kernel::time::{Span, Time};
use crate::msg::{Event, Msg};
use std::collections::BTreeMap;

/// The shortest time for which a router is told to refuse a tenant, so that a tenant far over its quota costs few questions.
const BLOCKED_LEAST: Span = Span::ms(100);

/// What the owner has done since it started.
#[derive(Clone, Copy, Default, Debug)]
struct Counts {
    granted: u64,
    blocked: u64,
    repeated: u64,
    unowned: u64,
}

/// Component of the controllers.
pub struct QuotaOwner {
    settings: QuotaSettings,
    view: ViewNo,
    config_at: Option<Version>,
    quotas: BTreeMap<Name, QuotaLimit>,
    buckets: BTreeMap<Name, TokenBucket>,
    authority: Authority,
    answers: GivenAnswers,
    counts: Counts,
}

impl QuotaOwner {
    /// An owner without counters.
    pub fn new(settings: QuotaSettings) -> QuotaOwner {
        QuotaOwner {
            settings,
            view: ViewNo::default(),
            config_at: None,
            quotas: BTreeMap::new(),
            buckets: BTreeMap::new(),
            authority: Authority::default(),
            answers: GivenAnswers::default(),
            counts: Counts::default(),
        }
    }

    /// Keeps the counters of tenants that this node owned in the view before and owns in the new one: nobody else could
    /// grant between them.
    fn follow_view(&mut self, ctx: &Context) {
        let Some(view) = ctx.views.view.as_ref().filter(|view| view.no != self.view) else { return };
        let went_on = self.view.next() == view.no;
        self.buckets.retain(|tenant, _| went_on && owner_of(view, tenant) == Some(ctx.me.node));
        self.view = view.no;
        self.authority.follow(view.no);
    }

    /// Takes over the limits of a new configuration.
    fn follow_config(&mut self, ctx: &Context) {
        let state = &ctx.views.state;
        if self.config_at == Some(state.config_at) {
            return;
        }
        self.config_at = Some(state.config_at);
        let limited = |quota| self.settings.bucket_limit(quota);
        let rows = state.config.tenants.iter();
        self.quotas = rows.filter_map(|t| Some((t.name.clone(), limited(t.quota?)))).collect();
        let quotas = &self.quotas;
        self.buckets.retain(|tenant, _| quotas.contains_key(tenant));
        for (tenant, bucket) in &mut self.buckets {
            bucket.set_limit(quotas[tenant], ctx.now);
        }
        self.add_buckets(ctx);
    }

    /// Adds an empty bucket for each tenant that this node owns and has none for yet.
    fn add_buckets(&mut self, ctx: &Context) {
        let (Some(alone_from), Some(view)) = (self.authority.alone_from(), &ctx.views.view) else { return };
        for (tenant, limit) in &self.quotas {
            if !self.buckets.contains_key(tenant) && owner_of(view, tenant) == Some(ctx.me.node) {
                let bucket = TokenBucket::empty(*limit, alone_from.max(ctx.now));
                self.buckets.insert(tenant.clone(), bucket);
            }
        }
    }

    fn request_authority(&mut self, ctx: &mut Context) {
        let Some(view) = ctx.views.view.as_ref().filter(|view| view.has(ctx.me.node)) else { return };
        let (Some(tail), no) = (view.tail(), view.no) else { return };
        if self.quotas.is_empty() || ctx.views.role.isolated || !self.authority.renews(ctx.now) {
            return;
        }
        if tail == ctx.me.node {
            if gives_authority(no, ctx) {
                self.authority_granted(no, ctx.now, ctx);
            }
            return;
        }
        let sent = ctx.now;
        ctx.send(tail, Msg::Constraint(ConstraintMsg::AuthorityRequest { view: no, sent }));
    }

    fn authority_requested(&self, from: NodeId, view: ViewNo, sent: Time, ctx: &mut Context) {
        if gives_authority(view, ctx) {
            ctx.send(from, Msg::Constraint(ConstraintMsg::AuthorityGrant { view, sent }));
        }
    }

    fn authority_granted(&mut self, view: ViewNo, sent: Time, ctx: &Context) {
        self.authority.granted(view, sent, ctx.now);
        self.add_buckets(ctx);
    }

    fn acquire(&mut self, router: NodeId, question: &Acquire, ctx: &mut Context) {
        let key = question.key;
        match self.answers.judge(router, key) {
            Question::Outdated => return,
            Question::Repeated(rows) => {
                self.counts.repeated += 1;
                return answer(router, key, rows, ctx);
            }
            Question::New => {}
        }
        if !self.may_answer(question, ctx) {
            self.counts.unowned += 1;
            let view = ctx.views.view.clone();
            return ctx.send(router, Msg::Constraint(ConstraintMsg::NotOwner { key, view }));
        }
        let rows: Vec<GrantedRow> = question.rows.iter().map(|row| self.grant(row, ctx.now)).collect();
        self.answers.add(router, key, rows.clone(), ctx.now);
        answer(router, key, rows, ctx);
    }

    /// Whether this node has authority and owns the tenants of a question, and no earlier owner may still grant.
    fn may_answer(&self, question: &Acquire, ctx: &Context) -> bool {
        let Some(view) = &ctx.views.view else { return false };
        let may_grant = |row: &AcquireRow| {
            owner_of(view, &row.tenant) == Some(ctx.me.node) && self.counts_for(&row.tenant, ctx.now)
        };
        self.authority.holds(ctx.now) && question.rows.iter().all(may_grant)
    }

    /// Whether the tenant's bucket is open, or it has no quota.
    fn counts_for(&self, tenant: &Name, now: Time) -> bool {
        match self.buckets.get(tenant) {
            Some(bucket) => bucket.is_open(now),
            None => !self.quotas.contains_key(tenant),
        }
    }

    /// Checks and reserves in one step.
    fn grant(&mut self, row: &AcquireRow, now: Time) -> GrantedRow {
        let tenant = row.tenant.clone();
        let Some(bucket) = self.buckets.get_mut(&tenant) else {
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
        self.answers.sweep(ctx.now);
    }

    fn hear(&mut self, from: NodeId, msg: &ConstraintMsg, ctx: &mut Context) {
        match msg {
            ConstraintMsg::AuthorityRequest { view, sent } => {
                self.authority_requested(from, *view, *sent, ctx)
            }
            ConstraintMsg::AuthorityGrant { view, sent } => self.authority_granted(*view, *sent, ctx),
            ConstraintMsg::Acquire(question) => self.acquire(from, question, ctx),
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
        self.follow_view(ctx);
        self.follow_config(ctx);
        match ev {
            Event::Mail { from, msg: Msg::Constraint(msg), .. } => self.hear(*from, msg, ctx),
            Event::Tick => self.tick(ctx),
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        vec![
            ("tenants", self.buckets.len().to_string()),
            ("authority_left", self.authority.left(now).to_string()),
            ("granted", self.counts.granted.to_string()),
            ("blocked", self.counts.blocked.to_string()),
            ("repeated", self.counts.repeated.to_string()),
            ("not_owner", self.counts.unowned.to_string()),
            ("answers_kept", self.answers.len().to_string()),
        ]
    }
}

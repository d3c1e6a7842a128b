use crate::fleet::config::{Allowance, Rollout as Rules};
use crate::fleet::state::*;
use crate::kernel::component::{Component, Context};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const REMINDER_INTERVAL: Span = Span::ms(1000);
const SETTLE_RESEND_DELAY: Span = Span::ms(1500);
const REPORT_FRESHNESS: Span = Span::ms(1500);
/// A router's report that is older is dropped.
const REPORT_LIFETIME: Span = Span::ms(10_000);
/// How often old reports are looked for.
const EXPIRY_INTERVAL: Span = Span::ms(1000);

struct CandidateRollout {
    id: ChangeId,
    started_at: Time,
    stage_started_at: Time,
    reminded_at: Time,
    tries: u64,
    is_rehearsing: bool,
    stages: Vec<StageFigure>,
    settled_at: Option<Time>,
}

#[derive(Default)]
pub struct Rollout {
    router_reports: BTreeMap<NodeId, (Time, Arc<RouterReport>)>,
    candidate: Option<CandidateRollout>,
    proposed_at: Option<(ChangeId, Time)>,
    spreading: Option<(Version, Time)>,
    last_spread: Option<(Version, u64)>,
    expired_at: Time,
}

fn figure(name: &str, ms: u64, tries: u64, a: &Allowance, note: String) -> StageFigure {
    StageFigure { name: name.into(), ms, ms_allowed: a.ms, tries, tries_allowed: a.tries, note }
}

impl Rollout {
    fn expire_reports(&mut self, now: Time) {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            self.router_reports.retain(|_, row| now.since(row.0) < REPORT_LIFETIME);
        }
    }

    fn routers(ctx: &Context) -> Vec<NodeId> {
        let live = ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.silence < QUIET_AFTER);
        live.map(|r| r.who.node).collect()
    }

    fn rules(ctx: &Context, c: &Candidate) -> Rules {
        let now = &ctx.views.state;
        if now.config_version > Version(0) { now.config.rollout.clone() } else { c.config.rollout.clone() }
    }

    fn tick(&mut self, ctx: &mut Context) {
        self.track_spread(ctx);
        let Some(candidate) = &ctx.views.state.candidate else {
            self.candidate = None;
            return;
        };
        let (id, rules) = (candidate.id, Self::rules(ctx, candidate));
        if !ctx.views.role.is_head || !ctx.views.role.is_ready {
            self.candidate = None;
            return;
        }
        if self.candidate.as_ref().is_none_or(|t| t.id != id) {
            let asked = self.proposed_at.filter(|a| a.0 == id).map_or(ctx.now, |a| a.1);
            let ms = ctx.now.since(asked).as_ms();
            let note = "no faults; recorded by every member of the chain".to_string();
            self.candidate = Some(CandidateRollout {
                id,
                started_at: ctx.now,
                stage_started_at: ctx.now,
                reminded_at: ctx.now,
                tries: 1,
                is_rehearsing: false,
                stages: vec![figure("check", ms, 1, &rules.deliver, note)],
                settled_at: None,
            });
        }
        self.advance(id, &rules, ctx);
    }

    fn advance(&mut self, id: ChangeId, rules: &Rules, ctx: &mut Context) {
        let routers = Self::routers(ctx);
        let Some(t) = &mut self.candidate else { return };
        if let Some(at) = t.settled_at {
            if ctx.now.since(at) > SETTLE_RESEND_DELAY {
                t.settled_at = None;
            }
            return;
        }
        let fresh: BTreeMap<NodeId, &Arc<RouterReport>> = self
            .router_reports
            .iter()
            .filter(|(n, row)| {
                routers.contains(n) && ctx.now.since(row.0) < REPORT_FRESHNESS && row.0 >= t.started_at
            })
            .map(|(n, row)| (*n, &row.1))
            .collect();
        let ms = ctx.now.since(t.stage_started_at).as_ms();
        let a = if t.is_rehearsing { &rules.rehearse } else { &rules.deliver };
        let done = |n: &NodeId| {
            fresh.get(n).is_some_and(|r| match t.is_rehearsing {
                false => r.candidate_seen == id,
                true => r.rehearsal.as_ref().is_some_and(|x| x.id == id),
            })
        };
        let late: Vec<NodeId> = routers.iter().copied().filter(|n| !done(n)).collect();
        let name = if t.is_rehearsing { "rehearse" } else { "deliver" };
        if routers.is_empty() || !late.is_empty() {
            if ms > a.ms || t.tries > a.tries {
                let what = if routers.is_empty() {
                    "no router is live; start one and send the change again".to_string()
                } else {
                    let names: Vec<String> = late.iter().map(|n| n.to_string()).collect();
                    format!(
                        "{} did not {name} in time; see nodes, then send the change again",
                        names.join(",")
                    )
                };
                t.stages.push(figure(name, ms, t.tries, a, what.clone()));
                let (id, stages) = (t.id, t.stages.clone());
                t.settled_at = Some(ctx.now);
                return Self::settle(id, Verdict::Refuse(what), stages, ctx);
            }
            if ctx.now.since(t.reminded_at) > REMINDER_INTERVAL {
                t.reminded_at = ctx.now;
                t.tries += 1;
                for n in late {
                    ctx.send(n, Msg::RequestUpdates);
                }
            }
            return;
        }
        if !t.is_rehearsing {
            t.stages.push(figure("deliver", ms, t.tries, a, format!("{} routers hold it", routers.len())));
            t.is_rehearsing = true;
            t.stage_started_at = ctx.now;
            t.tries = 1;
            return;
        }
        let rows: Vec<RehearsalResult> = fresh.values().filter_map(|r| r.rehearsal.clone()).collect();
        let sum = |f: &dyn Fn(&RehearsalResult) -> u64| rows.iter().map(f).sum::<u64>();
        let (planned, refused) = (sum(&|r| r.planned), sum(&|r| r.refused));
        let (bare, worst) = (sum(&|r| r.without_holder), rows.iter().map(|r| r.worst_us).max().unwrap_or(0));
        let why = rows.iter().map(|r| r.why.as_str()).find(|w| !w.is_empty()).unwrap_or("");
        let note = format!(
            "planned={planned} refused={refused} without_holder={bare} worst_us={worst} routers={}",
            rows.len()
        );
        t.stages.push(figure("rehearse", ms, t.tries, a, note));
        t.settled_at = Some(ctx.now);
        let over = refused * 100 > planned * rules.refused_percent;
        let verdict = if over {
            Verdict::Refuse(format!(
                "{refused} of {planned} live orders would be refused ({why}), over {}%; mend it or raise rollout.refused_percent first",
                rules.refused_percent
            ))
        } else {
            Verdict::Commit
        };
        let (id, stages) = (t.id, t.stages.clone());
        Self::settle(id, verdict, stages, ctx);
    }

    fn settle(id: ChangeId, verdict: Verdict, stages: Vec<StageFigure>, ctx: &mut Context) {
        ctx.publish(JournalEvent::Submitted(Arc::new(Change::Settle { id, verdict, stages })));
    }

    fn track_spread(&mut self, ctx: &mut Context) {
        let Some((at, since)) = self.spreading else { return };
        let routers = Self::routers(ctx);
        let all =
            routers.iter().all(|n| self.router_reports.get(n).is_some_and(|r| r.1.routes_version >= at));
        if all && !routers.is_empty() {
            let ms = ctx.now.since(since).as_ms();
            self.spreading = None;
            self.last_spread = Some((at, ms));
            ctx.log_event("configuration-spread", format!("{at} on {} routers after {ms}ms", routers.len()));
        }
    }
}

impl Component for Rollout {
    fn name(&self) -> &'static str {
        "rollout"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Message { from, msg: Msg::RouterReport(tell), .. } => {
                self.router_reports.insert(*from, (ctx.now, tell.clone()));
            }
            Event::Journal(JournalEvent::Submitted(change)) => {
                if let Change::Propose { id, .. } = &**change {
                    self.proposed_at = Some((*id, ctx.now));
                }
            }
            Event::Journal(JournalEvent::Committed { at, change }) => {
                if let Change::Settle { verdict: Verdict::Commit, .. } = &**change {
                    self.spreading = Some((*at, ctx.now));
                }
                self.tick(ctx);
            }
            Event::DutyTick => {
                self.expire_reports(ctx.now);
                self.tick(ctx);
            }
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        let spread = self.last_spread.map_or("none".into(), |(v, ms)| format!("{v} {ms}ms"));
        vec![("routers_heard", self.router_reports.len().to_string()), ("last_spread", spread)]
    }
}

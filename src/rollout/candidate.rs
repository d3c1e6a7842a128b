//! Rolls a candidate configuration out: on the chain's head, waits until all routers hold it and have
//! rehearsed it on their requests, then has the chain commit or refuse it.

mod events;

use crate::fleet::config::{Allowance, Rollout as Rules};
use crate::fleet::state::*;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::membership::service::QUIET_AFTER;
use crate::msg::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often routers that are late are reminded.
const REMINDER_INTERVAL: Span = Span::ms(1000);
/// How long the chain has to record a verdict before it is submitted again.
const SETTLE_RESEND_DELAY: Span = Span::ms(1500);
/// The age up to which a router's report is used.
const REPORT_FRESHNESS: Span = Span::ms(1500);
/// The age at which a router's report is dropped.
const REPORT_LIFETIME: Span = Span::ms(10_000);
/// How often old reports are removed.
const EXPIRY_INTERVAL: Span = Span::ms(1000);

/// The rollout of one candidate.
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

/// The rollout component of a controller.
#[derive(Default)]
pub struct Rollout {
    /// The newest report of each router, and when it arrived.
    router_reports: BTreeMap<NodeId, (Time, Arc<RouterReport>)>,
    /// The rollout under way.
    candidate: Option<CandidateRollout>,
    /// The last proposed change, and when it was proposed.
    proposed_at: Option<(ChangeId, Time)>,
    /// A committed configuration that not all routers use yet, and when it was committed.
    spreading: Option<(Version, Time)>,
    /// The last configuration that all routers use, and how long that took, in ms.
    last_spread: Option<(Version, u64)>,
    /// When old reports were last removed.
    expired_at: Time,
}

/// The record of a stage.
fn figure(name: &str, ms: u64, tries: u64, allowance: &Allowance, note: String) -> StageFigure {
    StageFigure {
        name: name.into(),
        ms,
        ms_allowed: allowance.ms,
        tries,
        tries_allowed: allowance.tries,
        note,
    }
}

impl Rollout {
    /// Removes old reports at intervals.
    fn expire_reports(&mut self, now: Time) {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            self.router_reports.retain(|_, row| now.since(row.0) < REPORT_LIFETIME);
        }
    }

    /// The live routers.
    fn routers(ctx: &Context) -> Vec<NodeId> {
        let live = ctx.views.members.iter().filter(|r| r.who.role == Role::Router && r.silence < QUIET_AFTER);
        live.map(|r| r.who.node).collect()
    }

    /// The rules for a rollout: those in force, or the candidate's own if it is the first configuration.
    fn rules(ctx: &Context, candidate: &Candidate) -> Rules {
        let now = &ctx.views.state;
        if now.config_version > Version(0) {
            now.config.rollout.clone()
        } else {
            candidate.config.rollout.clone()
        }
    }

    /// Starts, advances or drops the rollout of the current candidate.
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

    /// Ends a stage once all routers are done with it, or refuses the candidate when the stage's allowance is
    /// used up or too many requests would be refused.
    fn advance(&mut self, id: ChangeId, rules: &Rules, ctx: &mut Context) {
        let routers = Self::routers(ctx);
        let Some(rollout) = &mut self.candidate else { return };
        if let Some(at) = rollout.settled_at {
            if ctx.now.since(at) > SETTLE_RESEND_DELAY {
                rollout.settled_at = None;
            }
            return;
        }
        let fresh: BTreeMap<NodeId, &Arc<RouterReport>> = self
            .router_reports
            .iter()
            .filter(|(node, row)| {
                routers.contains(node)
                    && ctx.now.since(row.0) < REPORT_FRESHNESS
                    && row.0 >= rollout.started_at
            })
            .map(|(node, row)| (*node, &row.1))
            .collect();
        let ms = ctx.now.since(rollout.stage_started_at).as_ms();
        let allowance = if rollout.is_rehearsing { &rules.rehearse } else { &rules.deliver };
        let done = |node: &NodeId| {
            fresh.get(node).is_some_and(|r| match rollout.is_rehearsing {
                false => r.candidate_seen == id,
                true => r.rehearsal.as_ref().is_some_and(|x| x.id == id),
            })
        };
        let late: Vec<NodeId> = routers.iter().copied().filter(|node| !done(node)).collect();
        let name = if rollout.is_rehearsing { "rehearse" } else { "deliver" };
        if routers.is_empty() || !late.is_empty() {
            if ms > allowance.ms || rollout.tries > allowance.tries {
                let what = if routers.is_empty() {
                    "no router is live; start one and send the change again".to_string()
                } else {
                    let names: Vec<String> = late.iter().map(|node| node.to_string()).collect();
                    format!(
                        "{} did not {name} in time; see nodes, then send the change again",
                        names.join(",")
                    )
                };
                rollout.stages.push(figure(name, ms, rollout.tries, allowance, what.clone()));
                let (id, stages) = (rollout.id, rollout.stages.clone());
                rollout.settled_at = Some(ctx.now);
                return Self::settle(id, Verdict::Refuse(what), stages, ctx);
            }
            if ctx.now.since(rollout.reminded_at) > REMINDER_INTERVAL {
                rollout.reminded_at = ctx.now;
                rollout.tries += 1;
                for node in late {
                    ctx.send(node, Msg::RequestUpdates);
                }
            }
            return;
        }
        if !rollout.is_rehearsing {
            rollout.stages.push(figure(
                "deliver",
                ms,
                rollout.tries,
                allowance,
                format!("{} routers hold it", routers.len()),
            ));
            rollout.is_rehearsing = true;
            rollout.stage_started_at = ctx.now;
            rollout.tries = 1;
            return;
        }
        let rows: Vec<RehearsalResult> = fresh.values().filter_map(|r| r.rehearsal.clone()).collect();
        let sum = |f: &dyn Fn(&RehearsalResult) -> u64| rows.iter().map(f).sum::<u64>();
        let (planned, refused) = (sum(&|r| r.planned), sum(&|r| r.refused));
        let (without_holder, worst) =
            (sum(&|r| r.without_holder), rows.iter().map(|r| r.worst_us).max().unwrap_or(0));
        let why = rows.iter().map(|r| r.why.as_str()).find(|w| !w.is_empty()).unwrap_or("");
        let note = format!(
            "planned={planned} refused={refused} without_holder={without_holder} worst_us={worst} routers={}",
            rows.len()
        );
        rollout.stages.push(figure("rehearse", ms, rollout.tries, allowance, note));
        rollout.settled_at = Some(ctx.now);
        let exceeds_limit = refused * 100 > planned * rules.refused_percent;
        let verdict = if exceeds_limit {
            Verdict::Refuse(format!(
                "{refused} of {planned} live orders would be refused ({why}), over {}%; mend it or raise rollout.refused_percent first",
                rules.refused_percent
            ))
        } else {
            Verdict::Commit
        };
        let (id, stages) = (rollout.id, rollout.stages.clone());
        Self::settle(id, verdict, stages, ctx);
    }

    /// Submits the verdict on a candidate.
    fn settle(id: ChangeId, verdict: Verdict, stages: Vec<StageFigure>, ctx: &mut Context) {
        ctx.publish(JournalEvent::Submitted(Arc::new(Change::Settle { id, verdict, stages })));
    }

    /// Logs how long a committed configuration took to reach all routers.
    fn track_spread(&mut self, ctx: &mut Context) {
        let Some((at, since)) = self.spreading else { return };
        let routers = Self::routers(ctx);
        let all_routers_use_it =
            routers.iter().all(|n| self.router_reports.get(n).is_some_and(|r| r.1.routes_version >= at));
        if all_routers_use_it && !routers.is_empty() {
            let ms = ctx.now.since(since).as_ms();
            self.spreading = None;
            self.last_spread = Some((at, ms));
            ctx.log_event("configuration-spread", format!("{at} on {} routers after {ms}ms", routers.len()));
        }
    }
}

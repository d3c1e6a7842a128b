//! Founding a fleet: once, on the first start, when all seeds answer that they know no fleet.
//!
//! The founder asks all first members for a pledge, which they sync to disk. With all pledges it installs view 1.
#![deny(missing_docs)]

use super::core::Chain;
use super::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::collections::BTreeMap;

/// A pledge that was requested longer ago than this no longer counts.
const PLEDGE_TTL: Span = Span::ms(2000);
/// A member drops its pledge when its founder was silent for this long, and a founder starts over with a new fleet.
const FOUNDING_TIMEOUT: Span = Span::ms(10_000);
/// A controller silent for less than this may be a first member.
const LIVE_SILENCE_LIMIT: Span = Span::ms(1500);
/// Each further candidate waits this much longer before it founds the fleet itself.
const CANDIDATE_STEP: Span = Span::ms(3000);
/// When no further controller was found for this long, fewer first members are enough.
const SETTLE_PERIOD: Span = Span::ms(2500);

/// What a node knows about the founding of a fleet.
#[derive(Clone, Default)]
pub struct Founder {
    /// The fleet and first members that this node has pledged itself to, as synced to disk.
    pub pledge: Option<(FleetId, Vec<NodeId>)>,
    /// For each seed that answered: whether it knows no fleet, and when it said so.
    pub seed_answers: BTreeMap<NodeId, (bool, Time)>,
    /// For each member that pledged itself: when its pledge was requested.
    pub pledged_at: BTreeMap<NodeId, Time>,
    /// When pledges were last requested.
    pub asked_at: Time,
    /// When the founder was last heard.
    pub founder_heard_at: Time,
    /// When this node chose the first members and began to collect pledges.
    pub began_at: Time,
    /// The number of known controllers.
    pub known_controllers: usize,
    /// When that number last grew.
    pub grown_at: Time,
}

impl Founder {
    /// Records the answer of a seed.
    pub fn on_welcome(&mut self, from: NodeId, empty: bool, now: Time) {
        self.seed_answers.insert(from, (empty, now));
    }
}

impl Chain {
    /// Joins the fleet that a message names, unless this node has pledged itself to the founder of another.
    pub fn join_fleet(&mut self, fleet: FleetId, ctx: &mut Context) {
        if fleet == FleetId(0) || self.fleet != FleetId(0) {
            return;
        }
        if let Some((mine, members)) = &self.founder.pledge {
            let founder = members.first() == Some(&self.node_id);
            if *mine != fleet && !founder && mine.0 != 0 {
                return;
            }
        }
        self.fleet = fleet;
        ctx.save(Record::Fleet { fleet });
        ctx.publish(JournalEvent::Fleet(fleet));
        ctx.log_event("fleet-joined", fleet.to_string());
    }

    fn seeds_know_no_fleet(&self, ctx: &Context) -> bool {
        let seen = |addr: &std::net::SocketAddr| {
            let Some(row) = ctx.views.members.iter().find(|r| r.who.addr == *addr) else { return false };
            let got = self.founder.seed_answers.get(&row.who.node);
            got.is_some_and(|(empty, at)| *empty && ctx.now.since(*at) < Span(PLEDGE_TTL.0 * 3))
        };
        (ctx.me.is_seed || !ctx.me.seeds.is_empty()) && ctx.me.seeds.iter().all(seen)
    }

    /// The first members, this node first; none if it is too early or not the turn of this node.
    fn first_members(&self, ctx: &Context) -> Option<Vec<NodeId>> {
        let me = ctx.me;
        let seed = |r: &MemberRow| r.who.addr == me.addr || me.seeds.contains(&r.who.addr);
        let live = ctx.views.controllers().filter(|r| r.silence < LIVE_SILENCE_LIMIT);
        let mut all: Vec<(bool, NodeId)> =
            live.map(|r| (me.core_size == 0 && !seed(r), r.who.node)).collect();
        all.sort();
        let calm = ctx.now.since(self.founder.grown_at.max(me.started)) >= SETTLE_PERIOD;
        let whole = all.len() == ctx.views.controllers().count();
        if me.core_size == 0 && !me.is_seed && !calm {
            return None;
        }
        if all.len() < me.voter_count() && !(me.core_size == 0 && calm && whole) {
            return None;
        }
        let seeds = all.iter().filter(|r| !r.0).count();
        all.truncate(if me.core_size > 0 { me.core_size } else { me.voter_count().max(seeds) });
        let mut all: Vec<NodeId> = all.into_iter().map(|r| r.1).collect();
        let rank = all.iter().position(|n| *n == self.node_id)?;
        let turn = Span(CANDIDATE_STEP.0 * rank as u64);
        if rank > 0 && (me.core_size > 0 || ctx.now.since(self.founder.grown_at.max(me.started)) < turn) {
            return None;
        }
        all.swap(0, rank);
        Some(all)
    }

    /// Timed work: requests pledges if this node is the founder; drops its own pledge if its founder fell silent.
    pub fn found_fleet(&mut self, ctx: &mut Context) {
        let known = ctx.views.controllers().count();
        if known > self.founder.known_controllers {
            self.founder.grown_at = ctx.now;
        }
        self.founder.known_controllers = known;
        let begun = self.founder.pledge.as_ref().is_some_and(|p| p.0 != FleetId(0));
        if !ctx.me.may_found && !begun {
            return;
        }
        if self.fleet != FleetId(0) || ctx.now.since(self.founder.asked_at) < Span::ms(300) {
            return;
        }
        self.founder.asked_at = ctx.now;
        if let Some((_, members)) = &self.founder.pledge
            && let Some(first) = members.first()
            && *first != self.node_id
        {
            let silence = ctx.now.since(self.founder.founder_heard_at.max(ctx.me.started));
            if silence > FOUNDING_TIMEOUT {
                self.founder.pledge = None;
                ctx.save(Record::Pledge { fleet: FleetId(0), members: vec![] });
            }
            return;
        }
        if !self.seeds_know_no_fleet(ctx) {
            return;
        }
        let (fleet, members) = match &self.founder.pledge {
            Some((f, m)) if f.0 != 0 && ctx.now.since(self.founder.began_at) < FOUNDING_TIMEOUT => {
                (*f, m.clone())
            }
            _ => {
                let Some(all) = self.first_members(ctx) else { return };
                self.founder.began_at = ctx.now;
                self.founder.pledged_at.clear();
                self.founder.pledge = None;
                (FleetId(ctx.rand.next() | 1), all)
            }
        };
        for node in &members {
            ctx.chain(*node, ChainMsg::PledgeRequest { fleet, members: members.clone(), sent: ctx.now });
        }
    }

    /// Pledges this node to the founder `from`, if the seeds know no fleet and no other pledge takes precedence.
    pub fn on_pledge_request(
        &mut self,
        from: NodeId,
        fleet: FleetId,
        members: &[NodeId],
        sent: Time,
        ctx: &mut Context,
    ) {
        let lowest = members.first() == Some(&from) && members.contains(&self.node_id);
        if self.fleet != FleetId(0) || !lowest || !self.seeds_know_no_fleet(ctx) {
            return;
        }
        match &self.founder.pledge {
            Some((f, m)) if f.0 != 0 && *f != fleet && !yields_pledge(m, from, self.node_id) => return,
            Some((f, _)) if *f == fleet => {}
            _ => {
                ctx.save(Record::Pledge { fleet, members: members.to_vec() });
                self.founder.pledge = Some((fleet, members.to_vec()));
            }
        }
        self.founder.founder_heard_at = ctx.now;
        ctx.chain(from, ChainMsg::PledgeReply { fleet, sent });
    }

    /// Counts a pledge; once all members have pledged themselves, founds the fleet and installs its first view.
    pub fn on_pledge_reply(&mut self, from: NodeId, fleet: FleetId, sent: Time, ctx: &mut Context) {
        let Some((mine, members)) = self.founder.pledge.clone() else { return };
        if mine != fleet || self.fleet != FleetId(0) || members.first() != Some(&self.node_id) {
            return;
        }
        self.founder.pledged_at.insert(from, sent);
        let fresh =
            |n: &NodeId| self.founder.pledged_at.get(n).is_some_and(|t| ctx.now.since(*t) < PLEDGE_TTL);
        if !members.iter().all(fresh) {
            return;
        }
        self.fleet = fleet;
        ctx.save(Record::Fleet { fleet });
        ctx.publish(JournalEvent::Fleet(fleet));
        ctx.log_event("founded", fleet.to_string());
        let view = View::founded(members.clone(), ctx.me);
        self.install(view.clone(), ctx);
        for node in members.iter().filter(|n| **n != self.node_id) {
            ctx.chain(*node, ChainMsg::ViewDecided { view: view.clone() });
        }
    }
}

/// Whether a pledge to the members `mine` gives way to the founder `from`: a founder yields to a lower id, any
/// other member only repeats its pledge to its own founder.
fn yields_pledge(mine: &[NodeId], from: NodeId, me: NodeId) -> bool {
    match mine.first() {
        Some(first) if *first == me => from <= me,
        first => first == Some(&from),
    }
}

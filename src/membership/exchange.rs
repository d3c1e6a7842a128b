//! The messages of membership: gossip with partners, full exchanges when digests differ, and greeting the seeds.

use super::service::{Membership, Partner, SUSPECT_AFTER};
use crate::chain::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::msg::*;

/// How long digests may differ before a full exchange is requested.
const DIFFERENCE_GRACE: Span = Span::ms(300);
/// How often a node sends everything it knows at most.
const SNAPSHOT_INTERVAL: Span = Span::ms(50);
/// The most rows and the most marks in one message.
const MAX_ROWS: usize = 32;
/// How many of the latest changes a new partner is sent.
const RECENT_CHANGES: u64 = 64;

impl Membership {
    fn partner_entry(&mut self, node: NodeId) -> &mut Partner {
        let sent_seq = self.table.seq.saturating_sub(RECENT_CHANGES);
        let sent_marks_seq = self.marks.seq.saturating_sub(RECENT_CHANGES);
        let fresh = || Partner { sent_seq, sent_marks_seq, ..Partner::default() };
        self.partners.entry(node).or_insert_with(fresh)
    }

    /// Merges what a partner sent.
    pub fn merge_gossip(&mut self, from: NodeId, gossip: &Gossip, ctx: &mut Context) {
        for claim in &gossip.rows {
            self.table.merge(claim, ctx.me, ctx.now);
        }
        self.marks.merge(&gossip.marks, ctx);
        if let Some(view) = &gossip.view {
            publish_if_newer(view, ctx);
        }
        let partner = self.partner_entry(from);
        partner.known_view = gossip.view_at;
        partner.heard_at = Some(ctx.now);
    }

    /// What changed since the last message to this partner. A partner that does not answer may not know the address
    /// of this node, so the message to it includes this node's own row.
    pub fn next_gossip(&mut self, to: NodeId, ctx: &Context) -> Gossip {
        self.partner_entry(to);
        let Some(partner) = self.partners.get_mut(&to) else { return Gossip::default() };
        let (mut rows, sent) = self.table.since(partner.sent_seq, MAX_ROWS, ctx.me, ctx.now);
        let answers = partner.heard_at.is_some_and(|heard| ctx.now.since(heard) < SUSPECT_AFTER);
        if !answers && rows.iter().all(|claim| claim.who.node != ctx.me.node) {
            rows.extend(self.table.claim(ctx.me.node, ctx.me, ctx.now));
        }
        let (marks, marked) = self.marks.since(partner.sent_marks_seq, MAX_ROWS, ctx.now);
        (partner.sent_seq, partner.sent_marks_seq) = (sent, marked);
        let no = view_no(ctx);
        let view = ctx.views.view.clone().filter(|_| partner.known_view < no);
        partner.known_view = partner.known_view.max(no);
        Gossip { digest: self.table.digest ^ self.marks.digest, rows, marks, view_at: no, view }
    }

    /// Everything that this node knows.
    pub fn full_gossip(&self, ctx: &Context) -> Gossip {
        let (rows, marks) = (self.table.all(ctx.me, ctx.now), self.marks.since(0, usize::MAX, ctx.now).0);
        let (view_at, view) = (view_no(ctx), ctx.views.view.clone());
        Gossip { digest: self.table.digest ^ self.marks.digest, rows, marks, view_at, view }
    }

    /// Requests a full exchange from a partner whose digest has differed for a while. The request waits longer
    /// after several tries, and is made at once while a member of the view is unknown. A partner without a row here
    /// cannot be reached and is not asked; another one is asked when its next message comes.
    pub fn compare_digest(&mut self, from: NodeId, digest: u64, ctx: &mut Context) {
        let same = digest == self.table.digest ^ self.marks.digest;
        let Some(partner) = self.partners.get_mut(&from) else { return };
        if same {
            partner.differs_since = None;
            self.sync_tries = 0;
            return;
        }
        let differing_for = ctx.now.since(*partner.differs_since.get_or_insert(ctx.now));
        let view = ctx.views.view.as_ref().map(|view| view.nodes()).unwrap_or_default();
        let misses_member = view.iter().any(|n| *n != ctx.me.node && !self.table.rows.contains_key(n));
        let wait =
            Span::ms(if misses_member { 200 } else { 500 << self.sync_tries.saturating_sub(4).min(4) });
        let is_reachable = self.table.rows.contains_key(&from);
        if is_reachable
            && (misses_member || differing_for >= DIFFERENCE_GRACE)
            && ctx.now.since(self.sync_requested_at) >= wait
        {
            self.sync_requested_at = ctx.now;
            self.sync_tries += 1;
            ctx.send(from, Msg::GossipRequest);
        }
    }

    /// Greets the seeds now and then: often while few nodes are known, and more rarely the more are.
    pub fn greet_seeds(&mut self, ctx: &mut Context) {
        let (known, empty) = (self.table.rows.len() as u64, ctx.views.fleet == FleetId(0));
        let wait = match known {
            0..2 => 300,
            _ if empty && ctx.me.role == Role::Controller => 2000,
            n => 2000 * (n / 32).max(1),
        };
        if ctx.now.since(self.greeted_at) >= Span::ms(wait) {
            self.greeted_at = ctx.now;
            let digest = self.table.digest ^ self.marks.digest;
            for addr in ctx.me.seeds.clone() {
                let msg = Msg::Hello { me: ctx.me.member(), empty, digest };
                ctx.effects.push(Effect::SendAt { addr, msg });
            }
        }
    }

    /// Handles the messages of membership.
    pub fn on_message(&mut self, from: NodeId, msg: &Msg, ctx: &mut Context) {
        match msg {
            Msg::Hello { me, digest, .. } => {
                self.table.merge(&Claim { who: me.clone(), is_live: true, age: Span(0) }, ctx.me, ctx.now);
                let empty = ctx.views.fleet == FleetId(0);
                let same = *digest == self.table.digest ^ self.marks.digest;
                let due = ctx.now.since(self.snapshot_sent_at) >= SNAPSHOT_INTERVAL
                    || self.table.rows.len() < MAX_ROWS;
                let gossip = (!same && due).then(|| Box::new(self.full_gossip(ctx)));
                if gossip.is_some() {
                    self.snapshot_sent_at = ctx.now;
                }
                let msg = Msg::Welcome { empty, gossip };
                ctx.effects.push(Effect::SendAt { addr: me.addr, msg });
            }
            Msg::Welcome { gossip: Some(gossip), .. } | Msg::Gossip(gossip) => {
                self.merge_gossip(from, gossip, ctx)
            }
            Msg::Ping(gossip) => {
                self.merge_gossip(from, gossip, ctx);
                let back = self.next_gossip(from, ctx);
                ctx.send(from, Msg::Pong(Box::new(back)));
                self.compare_digest(from, gossip.digest, ctx);
            }
            Msg::Pong(gossip) => {
                self.merge_gossip(from, gossip, ctx);
                self.compare_digest(from, gossip.digest, ctx);
            }
            Msg::GossipRequest if ctx.now.since(self.snapshot_sent_at) >= SNAPSHOT_INTERVAL => {
                self.snapshot_sent_at = ctx.now;
                let gossip = self.full_gossip(ctx);
                ctx.send(from, Msg::Gossip(Box::new(gossip)));
            }
            Msg::RunnersLeaving(names) => self.marks.add_listed(names, ctx),
            Msg::ListRead(read) => self.marks.add_listed(&read.leaving, ctx),
            Msg::Suspect { who } => {
                let known = |n: &&NodeId| {
                    let row = self.table.rows.get(n);
                    row.is_some_and(|known| known.is_live && ctx.now.since(known.heard_at) < SUSPECT_AFTER)
                };
                let rows = who.iter().filter(known).filter_map(|n| self.table.claim(*n, ctx.me, ctx.now));
                let rows: Vec<Claim> = rows.collect();
                if !rows.is_empty() {
                    let gossip = Gossip { rows, view_at: view_no(ctx), ..Gossip::default() };
                    ctx.send(from, Msg::Gossip(Box::new(gossip)));
                }
            }
            _ => {}
        }
    }
}

/// The number of the newest view that this node knows; 0 without one.
pub fn view_no(ctx: &Context) -> ViewNo {
    ctx.views.view.as_ref().map_or(ViewNo(0), |view| view.no)
}

/// Publishes a view that is newer than the known one.
fn publish_if_newer(view: &View, ctx: &mut Context) {
    if ctx.views.older(view) {
        ctx.publish(JournalEvent::ViewHeard(view.clone()));
    }
}

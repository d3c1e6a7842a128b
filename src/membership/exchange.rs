use super::service::{DOUBT, Membership, Partner};
use crate::chain::view::View;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::msg::*;

const OFF: Span = Span::ms(300);
const SERVE: Span = Span::ms(50);
const MOST: usize = 32;
const LATELY: u64 = 64;

impl Membership {
    fn partner(&mut self, node: NodeId) -> &mut Partner {
        let sent = self.table.seq.saturating_sub(LATELY);
        let marked = self.marks.seq.saturating_sub(LATELY);
        let fresh = || Partner { sent, marked, ..Partner::default() };
        self.partners.entry(node).or_insert_with(fresh)
    }

    pub fn learn(&mut self, from: NodeId, g: &Gossip, ctx: &mut Context) {
        for c in &g.rows {
            self.table.learn(c, ctx.me, ctx.now);
        }
        self.marks.learn(&g.marks, ctx);
        if let Some(v) = &g.view {
            hear(v, ctx);
        }
        let partner = self.partner(from);
        partner.view = g.view_at;
        partner.heard = Some(ctx.now);
    }

    /// What changed since the last letter to this partner. A partner that doesn't answer may not know where
    /// this node is reached, so the letter to it names this node too.
    pub fn gossip(&mut self, to: NodeId, ctx: &Context) -> Gossip {
        self.partner(to);
        let Some(p) = self.partners.get_mut(&to) else { return Gossip::default() };
        let (mut rows, sent) = self.table.since(p.sent, MOST, ctx.me, ctx.now);
        let answers = p.heard.is_some_and(|heard| ctx.now.since(heard) < DOUBT);
        if !answers && rows.iter().all(|claim| claim.who.node != ctx.me.node) {
            rows.extend(self.table.claim(ctx.me.node, ctx.me, ctx.now));
        }
        let (marks, marked) = self.marks.since(p.marked, MOST, ctx.now);
        (p.sent, p.marked) = (sent, marked);
        let no = view_no(ctx);
        let view = ctx.views.view.clone().filter(|_| p.view < no);
        p.view = p.view.max(no);
        Gossip { digest: self.table.digest ^ self.marks.digest, rows, marks, view_at: no, view }
    }

    pub fn snapshot(&self, ctx: &Context) -> Gossip {
        let (rows, marks) = (self.table.all(ctx.me, ctx.now), self.marks.since(0, usize::MAX, ctx.now).0);
        let (view_at, view) = (view_no(ctx), ctx.views.view.clone());
        Gossip { digest: self.table.digest ^ self.marks.digest, rows, marks, view_at, view }
    }

    /// Asks a partner for all it knows where its digest differs from this node's for a while. A partner that
    /// this node has no row of can't be reached, so it isn't asked: another one is, at its next letter.
    pub fn compare(&mut self, from: NodeId, digest: u64, ctx: &mut Context) {
        let same = digest == self.table.digest ^ self.marks.digest;
        let Some(p) = self.partners.get_mut(&from) else { return };
        if same {
            p.off = None;
            self.tries = 0;
            return;
        }
        let off = ctx.now.since(*p.off.get_or_insert(ctx.now));
        let view = ctx.views.view.as_ref().map(|v| v.all()).unwrap_or_default();
        let blind = view.iter().any(|n| *n != ctx.me.node && !self.table.rows.contains_key(n));
        let wait = Span::ms(if blind { 200 } else { 500 << self.tries.saturating_sub(4).min(4) });
        let reached = self.table.rows.contains_key(&from);
        if reached && (blind || off >= OFF) && ctx.now.since(self.synced) >= wait {
            self.synced = ctx.now;
            self.tries += 1;
            ctx.send(from, Msg::GossipRequest);
        }
    }

    pub fn greet(&mut self, ctx: &mut Context) {
        let (known, empty) = (self.table.rows.len() as u64, ctx.views.fleet == FleetId(0));
        let wait = match known {
            0..2 => 300,
            _ if empty && ctx.me.role == Role::Controller => 2000,
            n => 2000 * (n / 32).max(1),
        };
        if ctx.now.since(self.greeted) >= Span::ms(wait) {
            self.greeted = ctx.now;
            let digest = self.table.digest ^ self.marks.digest;
            for addr in ctx.me.seeds.clone() {
                let msg = Msg::Hello { me: ctx.me.member(), empty, digest };
                ctx.effects.push(Effect::SendAt { addr, msg });
            }
        }
    }

    pub fn mail(&mut self, from: NodeId, msg: &Msg, ctx: &mut Context) {
        match msg {
            Msg::Hello { me, digest, .. } => {
                self.table.learn(&Claim { who: me.clone(), live: true, age: Span(0) }, ctx.me, ctx.now);
                let empty = ctx.views.fleet == FleetId(0);
                let same = *digest == self.table.digest ^ self.marks.digest;
                let due = ctx.now.since(self.served) >= SERVE || self.table.rows.len() < MOST;
                let gossip = (!same && due).then(|| Box::new(self.snapshot(ctx)));
                if gossip.is_some() {
                    self.served = ctx.now;
                }
                let msg = Msg::Welcome { empty, gossip };
                ctx.effects.push(Effect::SendAt { addr: me.addr, msg });
            }
            Msg::Welcome { gossip: Some(g), .. } | Msg::Gossip(g) => self.learn(from, g, ctx),
            Msg::Ping(g) => {
                self.learn(from, g, ctx);
                let back = self.gossip(from, ctx);
                ctx.send(from, Msg::Pong(Box::new(back)));
                self.compare(from, g.digest, ctx);
            }
            Msg::Pong(g) => {
                self.learn(from, g, ctx);
                self.compare(from, g.digest, ctx);
            }
            Msg::GossipRequest if ctx.now.since(self.served) >= SERVE => {
                self.served = ctx.now;
                let g = self.snapshot(ctx);
                ctx.send(from, Msg::Gossip(Box::new(g)));
            }
            Msg::RunnersLeaving(names) => self.marks.add_listed(names, ctx),
            Msg::ListRead(read) => self.marks.add_listed(&read.leaving, ctx),
            Msg::Suspect { who } => {
                let known = |n: &&NodeId| {
                    let row = self.table.rows.get(n);
                    row.is_some_and(|k| k.live && ctx.now.since(k.heard) < DOUBT)
                };
                let rows = who.iter().filter(known).filter_map(|n| self.table.claim(*n, ctx.me, ctx.now));
                let rows: Vec<Claim> = rows.collect();
                if !rows.is_empty() {
                    let g = Gossip { rows, view_at: view_no(ctx), ..Gossip::default() };
                    ctx.send(from, Msg::Gossip(Box::new(g)));
                }
            }
            _ => {}
        }
    }
}

pub fn view_no(ctx: &Context) -> ViewNo {
    ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no)
}

fn hear(view: &View, ctx: &mut Context) {
    if ctx.views.older(view) {
        ctx.publish(JournalEvent::ViewHeard(view.clone()));
    }
}

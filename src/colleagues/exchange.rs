use super::part::{Colleagues, DOUBT, Partner};
use crate::chain::view::View;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::kernel::time::Span;
use crate::msg::*;

const OFF: Span = Span::ms(300);
const SERVE: Span = Span::ms(50);
const MOST: usize = 32;
const LATELY: u64 = 64;

impl Colleagues {
    fn partner(&mut self, node: NodeId) -> &mut Partner {
        let sent = self.table.seq.saturating_sub(LATELY);
        let marked = self.marks.seq.saturating_sub(LATELY);
        let fresh = || Partner { sent, marked, ..Partner::default() };
        self.partners.entry(node).or_insert_with(fresh)
    }

    pub fn learn(&mut self, from: NodeId, g: &Gossip, kit: &mut Kit) {
        for c in &g.rows {
            self.table.learn(c, kit.me, kit.now);
        }
        self.marks.learn(&g.marks, kit);
        if let Some(v) = &g.view {
            hear(v, kit);
        }
        self.partner(from).view = g.view_at;
    }

    pub fn gossip(&mut self, to: NodeId, kit: &Kit) -> Gossip {
        self.partner(to);
        let Some(p) = self.partners.get_mut(&to) else { return Gossip::default() };
        let (rows, sent) = self.table.since(p.sent, MOST, kit.me, kit.now);
        let (marks, marked) = self.marks.since(p.marked, MOST, kit.now);
        (p.sent, p.marked) = (sent, marked);
        let no = view_no(kit);
        let view = kit.views.view.clone().filter(|_| p.view < no);
        p.view = p.view.max(no);
        Gossip { digest: self.table.digest ^ self.marks.digest, rows, marks, view_at: no, view }
    }

    pub fn snapshot(&self, kit: &Kit) -> Gossip {
        let (rows, marks) = (self.table.all(kit.me, kit.now), self.marks.since(0, usize::MAX, kit.now).0);
        let (view_at, view) = (view_no(kit), kit.views.view.clone());
        Gossip { digest: self.table.digest ^ self.marks.digest, rows, marks, view_at, view }
    }

    pub fn compare(&mut self, from: NodeId, digest: u64, kit: &mut Kit) {
        let same = digest == self.table.digest ^ self.marks.digest;
        let Some(p) = self.partners.get_mut(&from) else { return };
        if same {
            p.off = None;
            self.tries = 0;
            return;
        }
        let off = kit.now.since(*p.off.get_or_insert(kit.now));
        let view = kit.views.view.as_ref().map(|v| v.all()).unwrap_or_default();
        let blind = view.iter().any(|n| *n != kit.me.node && !self.table.rows.contains_key(n));
        let wait = Span::ms(if blind { 200 } else { 500 << self.tries.saturating_sub(4).min(4) });
        if (blind || off >= OFF) && kit.now.since(self.synced) >= wait {
            self.synced = kit.now;
            self.tries += 1;
            kit.send(from, Msg::Sync);
        }
    }

    pub fn greet(&mut self, kit: &mut Kit) {
        let (known, empty) = (self.table.rows.len() as u64, kit.views.fleet == FleetId(0));
        let wait = match known {
            0..2 => 300,
            _ if empty => 2000,
            n => 2000 * (n / 32).max(1),
        };
        if kit.now.since(self.greeted) >= Span::ms(wait) {
            self.greeted = kit.now;
            let digest = self.table.digest ^ self.marks.digest;
            for addr in kit.me.seeds.clone() {
                let msg = Msg::Hello { me: kit.me.card(), empty, digest };
                kit.out.push(Effect::SendAt { addr, msg });
            }
        }
    }

    pub fn mail(&mut self, from: NodeId, msg: &Msg, kit: &mut Kit) {
        match msg {
            Msg::Hello { me, digest, .. } => {
                self.table.learn(&Claim { who: me.clone(), live: true, age: Span(0) }, kit.me, kit.now);
                let empty = kit.views.fleet == FleetId(0);
                let same = *digest == self.table.digest ^ self.marks.digest;
                let due = kit.now.since(self.served) >= SERVE || self.table.rows.len() < MOST;
                let gossip = (!same && due).then(|| Box::new(self.snapshot(kit)));
                if gossip.is_some() {
                    self.served = kit.now;
                }
                let msg = Msg::Welcome { empty, gossip };
                kit.out.push(Effect::SendAt { addr: me.addr, msg });
            }
            Msg::Welcome { gossip: Some(g), .. } | Msg::Gossip(g) => self.learn(from, g, kit),
            Msg::Ping(g) => {
                self.learn(from, g, kit);
                let back = self.gossip(from, kit);
                kit.send(from, Msg::Pong(Box::new(back)));
                self.compare(from, g.digest, kit);
            }
            Msg::Pong(g) => {
                self.learn(from, g, kit);
                self.compare(from, g.digest, kit);
            }
            Msg::Sync if kit.now.since(self.served) >= SERVE => {
                self.served = kit.now;
                let g = self.snapshot(kit);
                kit.send(from, Msg::Gossip(Box::new(g)));
            }
            Msg::Doubt { who } => {
                let known = |n: &&NodeId| {
                    let row = self.table.rows.get(n);
                    row.is_some_and(|k| k.live && kit.now.since(k.heard) < DOUBT)
                };
                let rows = who.iter().filter(known).filter_map(|n| self.table.claim(*n, kit.me, kit.now));
                let rows: Vec<Claim> = rows.collect();
                if !rows.is_empty() {
                    let g = Gossip { rows, view_at: view_no(kit), ..Gossip::default() };
                    kit.send(from, Msg::Gossip(Box::new(g)));
                }
            }
            _ => {}
        }
    }
}

pub fn view_no(kit: &Kit) -> ViewNo {
    kit.views.view.as_ref().map_or(ViewNo(0), |v| v.no)
}

fn hear(view: &View, kit: &mut Kit) {
    if kit.views.older(view) {
        kit.note(Note::Heard(view.clone()));
    }
}

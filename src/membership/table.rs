use super::rendezvous::Watch;
use crate::kernel::component::LocalNode;
use crate::kernel::ids::*;
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::msg::{Claim, Member, Row};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

pub const SUSPECT: Span = Span::ms(1500);
pub const FORGET: Span = Span::ms(60_000);
pub const SLACK: Span = Span::ms(1000);
pub const SETTLE: Span = Span::ms(150);

pub struct Known {
    pub who: Member,
    pub heard: Time,
    pub live: bool,
    turned: Time,
    seq: u64,
}

#[derive(Default)]
pub struct Table {
    pub rows: BTreeMap<NodeId, Known>,
    spots: BTreeMap<SocketAddr, NodeId>,
    order: BTreeMap<u64, NodeId>,
    mine: u64,
    pub seq: u64,
    pub digest: u64,
    pub watch: Watch,
    pub dirty: bool,
    /// When the next node that fell quiet has been so for long enough to be shown so.
    pub settles: Option<Time>,
}

fn print(who: &Member) -> u64 {
    let ip = match who.addr.ip() {
        IpAddr::V4(ip) => u32::from(ip) as u64,
        IpAddr::V6(ip) => mix(u128::from(ip) as u64),
    };
    mix(who.node.0 ^ mix((ip << 16) + who.addr.port() as u64))
}

impl Table {
    pub fn start(&mut self, me: &LocalNode) {
        self.digest = print(&me.member());
        self.watch.join(me.node);
        self.watch.add(me.node);
    }

    fn bump(&mut self, node: NodeId) {
        self.seq += 1;
        let old = match self.rows.get_mut(&node) {
            Some(k) => std::mem::replace(&mut k.seq, self.seq),
            None => std::mem::replace(&mut self.mine, self.seq),
        };
        self.order.remove(&old);
        self.order.insert(self.seq, node);
    }

    fn turn(&mut self, node: NodeId, live: bool, now: Time) {
        let Some(k) = self.rows.get_mut(&node) else { return };
        if k.live == live {
            return;
        }
        (k.live, k.turned) = (live, now);
        self.digest ^= print(&k.who);
        self.dirty = true;
        if live {
            self.watch.join(node)
        } else {
            self.watch.leave(node)
        }
        self.bump(node);
    }

    pub fn drop(&mut self, node: NodeId) {
        self.turn(node, false, Time(0));
        self.watch.drop(node);
        if let Some(k) = self.rows.remove(&node) {
            self.order.remove(&k.seq);
            if self.spots.get(&k.who.addr) == Some(&node) {
                self.spots.remove(&k.who.addr);
            }
        }
        self.dirty = true;
    }

    pub fn heard(&mut self, node: NodeId, now: Time) {
        if let Some(k) = self.rows.get_mut(&node) {
            k.heard = now;
            self.turn(node, true, now);
        }
    }

    pub fn quiet(&mut self, node: NodeId, now: Time) {
        self.turn(node, false, now);
    }

    pub fn announce(&mut self, me: NodeId) {
        self.bump(me);
    }

    pub fn learn(&mut self, c: &Claim, me: &LocalNode, now: Time) {
        let node = c.who.node;
        if node == me.node || c.who.addr == me.addr {
            if c.live != (node == me.node) {
                self.announce(me.node);
            }
            return;
        }
        if !c.live && c.age >= FORGET {
            return;
        }
        let heard = now - c.age;
        if let Some(other) = self.spots.get(&c.who.addr).copied().filter(|o| *o != node) {
            let newer = self.rows.get(&other).is_some_and(|o| (o.heard, other) > (heard, node));
            if newer {
                if c.live {
                    self.bump(other);
                }
                return;
            }
            self.drop(other);
        }
        if self.rows.get(&node).is_some_and(|k| k.who != c.who && c.live && heard > k.heard) {
            self.drop(node);
        }
        let Some(k) = self.rows.get_mut(&node) else { return self.add(c, heard, now) };
        if k.live == c.live {
            k.heard = k.heard.max(heard);
        } else if c.live {
            if heard > k.heard + SLACK {
                k.heard = heard;
                self.turn(node, true, now);
            }
        } else if heard + SLACK >= k.heard {
            k.heard = heard;
            self.turn(node, false, now);
        } else {
            self.bump(node);
        }
    }

    fn add(&mut self, c: &Claim, heard: Time, now: Time) {
        let (node, who) = (c.who.node, c.who.clone());
        self.spots.insert(who.addr, node);
        self.rows.insert(node, Known { who, heard, live: false, turned: Time(0), seq: 0 });
        self.watch.add(node);
        self.dirty = true;
        if c.live {
            self.turn(node, true, now);
        } else {
            self.bump(node);
        }
    }

    pub fn forget(&mut self, now: Time) {
        let gone = |k: &Known| !k.live && now.since(k.heard) >= FORGET;
        let lost: Vec<NodeId> = self.rows.iter().filter(|r| gone(r.1)).map(|r| *r.0).collect();
        lost.into_iter().for_each(|n| self.drop(n));
    }

    pub fn claim(&self, node: NodeId, me: &LocalNode, now: Time) -> Option<Claim> {
        if node == me.node {
            return Some(Claim { who: me.member(), live: true, age: Span(0) });
        }
        let k = self.rows.get(&node)?;
        Some(Claim { who: k.who.clone(), live: k.live, age: now.since(k.heard) })
    }

    pub fn since(&self, seq: u64, most: usize, me: &LocalNode, now: Time) -> (Vec<Claim>, u64) {
        let rows: Vec<(&u64, &NodeId)> = self.order.range(seq + 1..).take(most).collect();
        let upto = if rows.len() < most { self.seq } else { rows.last().map_or(self.seq, |r| *r.0) };
        (rows.into_iter().filter_map(|r| self.claim(*r.1, me, now)).collect(), upto)
    }

    pub fn all(&self, me: &LocalNode, now: Time) -> Vec<Claim> {
        let ids = [me.node].into_iter().chain(self.rows.keys().copied());
        ids.filter_map(|n| self.claim(n, me, now)).collect()
    }

    /// When the first of the nodes that are quiet, but not shown so yet, will be.
    pub fn next_settled(&self, now: Time) -> Option<Time> {
        let unsettled = |k: &&Known| !k.live && now.since(k.turned) < SETTLE;
        self.rows.values().filter(unsettled).map(|k| k.turned + SETTLE).min()
    }

    pub fn book(&self, me: &LocalNode, now: Time) -> Vec<Row> {
        let mut rows = vec![Row { who: me.member(), quiet: Span(0) }];
        for k in self.rows.values() {
            let held = k.live || now.since(k.turned) < SETTLE;
            let quiet = if held { Span(0) } else { now.since(k.heard).max(SUSPECT) };
            rows.push(Row { who: k.who.clone(), quiet });
        }
        rows
    }
}

//! The table of known nodes: merges what is heard and claimed about each, and numbers the changes so that gossip
//! can send what is new.

use super::rendezvous::WatchAssignments;
use crate::kernel::component::LocalNode;
use crate::kernel::ids::*;
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::msg::{Claim, Member, MemberRow};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// A node that was silent for this long counts as quiet, that is not live.
pub const QUIET_AFTER: Span = Span::ms(1500);
/// A quiet node is forgotten after this silence.
pub const FORGET_AFTER: Span = Span::ms(60_000);
/// How much newer a claim that a node is live must be than what is known here, and how much older a claim that it
/// is quiet may be.
pub const CLAIM_TOLERANCE: Span = Span::ms(1000);
/// How long a node must be quiet before it is published as quiet.
pub const QUIET_SETTLE_DELAY: Span = Span::ms(150);

/// What is known of another node.
pub struct KnownNode {
    /// Its identity and addresses.
    pub who: Member,
    /// The time of the newest evidence of it.
    pub heard_at: Time,
    /// Whether it counts as live.
    pub is_live: bool,
    /// When `is_live` last changed.
    live_changed_at: Time,
    seq: u64,
}

/// The nodes known to this node, which itself has no row.
#[derive(Default)]
pub struct Table {
    /// The other nodes.
    pub rows: BTreeMap<NodeId, KnownNode>,
    /// The node at each address.
    by_address: BTreeMap<SocketAddr, NodeId>,
    /// The node changed by each change number; each node has only its latest number.
    change_order: BTreeMap<u64, NodeId>,
    /// The number of the latest change of this node itself.
    own_seq: u64,
    /// The number of the last change.
    pub seq: u64,
    /// A digest of this and all live nodes; equal on two nodes that know the same ones as live.
    pub digest: u64,
    /// Who watches whom among the known nodes.
    pub watch: WatchAssignments,
    /// Whether something changed since the members were last published.
    pub is_dirty: bool,
    /// When the next quiet node is to be published as quiet.
    pub next_settles_at: Option<Time>,
}

fn row_digest(who: &Member) -> u64 {
    let ip = match who.addr.ip() {
        IpAddr::V4(ip) => u32::from(ip) as u64,
        IpAddr::V6(ip) => mix(u128::from(ip) as u64),
    };
    mix(who.node.0 ^ mix((ip << 16) + who.addr.port() as u64))
}

impl Table {
    /// Adds this node itself to the digest and the watch assignments.
    pub fn start(&mut self, me: &LocalNode) {
        self.digest = row_digest(&me.member());
        self.watch.add_watcher(me.node);
        self.watch.add_watched(me.node);
    }

    /// Gives a node the next change number, so that gossip sends its row again.
    fn record_change(&mut self, node: NodeId) {
        self.seq += 1;
        let old = match self.rows.get_mut(&node) {
            Some(known) => std::mem::replace(&mut known.seq, self.seq),
            None => std::mem::replace(&mut self.own_seq, self.seq),
        };
        self.change_order.remove(&old);
        self.change_order.insert(self.seq, node);
    }

    /// Marks a node as live or quiet.
    fn set_live(&mut self, node: NodeId, live: bool, now: Time) {
        let Some(known) = self.rows.get_mut(&node) else { return };
        if known.is_live == live {
            return;
        }
        (known.is_live, known.live_changed_at) = (live, now);
        self.digest ^= row_digest(&known.who);
        self.is_dirty = true;
        if live {
            self.watch.add_watcher(node)
        } else {
            self.watch.remove_watcher(node)
        }
        self.record_change(node);
    }

    /// Removes a node.
    pub fn drop(&mut self, node: NodeId) {
        self.set_live(node, false, Time(0));
        self.watch.remove_watched(node);
        if let Some(known) = self.rows.remove(&node) {
            self.change_order.remove(&known.seq);
            if self.by_address.get(&known.who.addr) == Some(&node) {
                self.by_address.remove(&known.who.addr);
            }
        }
        self.is_dirty = true;
    }

    /// Records that a message came from a node.
    pub fn mark_heard(&mut self, node: NodeId, now: Time) {
        if let Some(known) = self.rows.get_mut(&node) {
            known.heard_at = now;
            self.set_live(node, true, now);
        }
    }

    /// Marks a node as quiet that its watcher has not heard.
    pub fn mark_quiet(&mut self, node: NodeId, now: Time) {
        self.set_live(node, false, now);
    }

    /// Has gossip send this node's own row again.
    pub fn announce_self(&mut self, me: NodeId) {
        self.record_change(me);
    }

    /// Merges a claim of another node. A wrong claim about this node, or one that is older than what is known here,
    /// is answered by sending the row again. Of two nodes at one address the one heard last stays.
    pub fn merge(&mut self, claim: &Claim, me: &LocalNode, now: Time) {
        let node = claim.who.node;
        if node == me.node || claim.who.addr == me.addr {
            if claim.is_live != (node == me.node) {
                self.announce_self(me.node);
            }
            return;
        }
        if !claim.is_live && claim.age >= FORGET_AFTER {
            return;
        }
        let heard = now - claim.age;
        if let Some(other) = self.by_address.get(&claim.who.addr).copied().filter(|o| *o != node) {
            let newer = self.rows.get(&other).is_some_and(|o| (o.heard_at, other) > (heard, node));
            if newer {
                if claim.is_live {
                    self.record_change(other);
                }
                return;
            }
            self.drop(other);
        }
        if self
            .rows
            .get(&node)
            .is_some_and(|known| known.who != claim.who && claim.is_live && heard > known.heard_at)
        {
            self.drop(node);
        }
        let Some(known) = self.rows.get_mut(&node) else { return self.add(claim, heard, now) };
        if known.is_live == claim.is_live {
            known.heard_at = known.heard_at.max(heard);
        } else if claim.is_live {
            if heard > known.heard_at + CLAIM_TOLERANCE {
                known.heard_at = heard;
                self.set_live(node, true, now);
            }
        } else if heard + CLAIM_TOLERANCE >= known.heard_at {
            known.heard_at = heard;
            self.set_live(node, false, now);
        } else {
            self.record_change(node);
        }
    }

    fn add(&mut self, claim: &Claim, heard: Time, now: Time) {
        let (node, who) = (claim.who.node, claim.who.clone());
        self.by_address.insert(who.addr, node);
        self.rows.insert(
            node,
            KnownNode { who, heard_at: heard, is_live: false, live_changed_at: Time(0), seq: 0 },
        );
        self.watch.add_watched(node);
        self.is_dirty = true;
        if claim.is_live {
            self.set_live(node, true, now);
        } else {
            self.record_change(node);
        }
    }

    /// Removes quiet nodes that were not heard for `FORGET_AFTER`.
    pub fn drop_expired(&mut self, now: Time) {
        let gone = |known: &KnownNode| !known.is_live && now.since(known.heard_at) >= FORGET_AFTER;
        let lost: Vec<NodeId> = self.rows.iter().filter(|r| gone(r.1)).map(|r| *r.0).collect();
        lost.into_iter().for_each(|n| self.drop(n));
    }

    /// What this node says about `node`; none if it does not know it.
    pub fn claim(&self, node: NodeId, me: &LocalNode, now: Time) -> Option<Claim> {
        if node == me.node {
            return Some(Claim { who: me.member(), is_live: true, age: Span(0) });
        }
        let known = self.rows.get(&node)?;
        Some(Claim { who: known.who.clone(), is_live: known.is_live, age: now.since(known.heard_at) })
    }

    /// At most `most` claims after change `seq`, and the change number up to which they reach.
    pub fn since(&self, seq: u64, most: usize, me: &LocalNode, now: Time) -> (Vec<Claim>, u64) {
        let rows: Vec<(&u64, &NodeId)> = self.change_order.range(seq + 1..).take(most).collect();
        let upto = if rows.len() < most { self.seq } else { rows.last().map_or(self.seq, |r| *r.0) };
        (rows.into_iter().filter_map(|r| self.claim(*r.1, me, now)).collect(), upto)
    }

    /// Claims about all known nodes, this one included.
    pub fn all(&self, me: &LocalNode, now: Time) -> Vec<Claim> {
        let ids = [me.node].into_iter().chain(self.rows.keys().copied());
        ids.filter_map(|n| self.claim(n, me, now)).collect()
    }

    /// When the first node that is quiet, but not published so yet, is to be.
    pub fn next_settled(&self, now: Time) -> Option<Time> {
        let unsettled =
            |known: &&KnownNode| !known.is_live && now.since(known.live_changed_at) < QUIET_SETTLE_DELAY;
        self.rows.values().filter(unsettled).map(|known| known.live_changed_at + QUIET_SETTLE_DELAY).min()
    }

    /// All members with their silence, as published to the other components.
    pub fn rows_shown(&self, me: &LocalNode, now: Time) -> Vec<MemberRow> {
        let mut rows = vec![MemberRow { who: me.member(), silence: Span(0) }];
        for known in self.rows.values() {
            let held = known.is_live || now.since(known.live_changed_at) < QUIET_SETTLE_DELAY;
            let silence = if held { Span(0) } else { now.since(known.heard_at).max(QUIET_AFTER) };
            rows.push(MemberRow { who: known.who.clone(), silence });
        }
        rows
    }
}

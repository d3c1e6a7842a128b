//! What a run of the hollow fleet is judged by: how soon losses, arrivals and demand are noticed.

use super::world::{Hollow, SAMPLE};
use crate::kernel::ids::*;
use crate::kernel::node::Node;
use crate::kernel::time::{Span, Time};
use crate::membership::service::QUIET_AFTER;
use crate::msg::Role;
use std::collections::BTreeSet;

/// The longest absence that the fleet may overlook when the node returns under its own id: its watchers
/// miss it after `SUSPECT`, or their successors do if they went with it, and the claim has to spread.
pub const OVERLOOKED: Span = Span::ms(2 * QUIET_AFTER.as_ms() + 1000);

/// A node that was started after the first boot, and what is already known of it.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub place: usize,
    pub life: u64,
    pub since: Time,
    pub known: bool,
    pub serves: bool,
}

/// The open and the settled judgements of the current phase.
#[derive(Default)]
pub struct Judge {
    pub wants: Vec<(Name, Time)>,
    pub met: Vec<Span>,
    pub unmet: u64,
    pub losses: Vec<(NodeId, Time)>,
    pub known: Vec<Span>,
    /// How long those were away that returned under their own id before their loss was known everywhere.
    pub returned: Vec<Span>,
    pub arrivals: Vec<Arrival>,
    pub seen: Vec<Span>,
    pub served: Vec<Span>,
    pub stale_ms: u64,
    pub down_ms: u64,
    pub bare_ms: u64,
    pub doubts: u64,
    pub looked: u64,
}

impl Judge {
    /// A node that lives again is no loss. Its arrival is judged instead; an absence that all should have
    /// noticed stays open, so that it is not excused by the return.
    pub fn returned(&mut self, who: NodeId, now: Time) {
        let returned = &mut self.returned;
        self.losses.retain(|(lost, since)| {
            let away = now.since(*since);
            let excused = *lost == who && away < OVERLOOKED;
            if excused {
                returned.push(away);
            }
            !excused
        });
    }

    /// Begins a phase: what is still open goes on, the figures start anew.
    pub fn clear(&mut self) {
        let (wants, losses, arrivals) = (
            std::mem::take(&mut self.wants),
            std::mem::take(&mut self.losses),
            std::mem::take(&mut self.arrivals),
        );
        *self = Judge { wants, losses, arrivals, ..Judge::default() };
    }
}

fn lives(node: &Node, who: NodeId) -> bool {
    node.views.members.iter().any(|r| r.who.node == who && r.silence < QUIET_AFTER)
}

impl Hollow {
    pub fn up(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter_map(|(k, n)| Some((k, n.node.as_ref()?)))
    }

    pub fn may_order(&self) -> bool {
        let told = |n: &Node| {
            let part = n.find("placement").map(|p| p.status(self.now)).unwrap_or_default();
            part.iter().any(|(k, v)| *k == "may_order" && v == "true")
        };
        self.up().any(|(k, n)| self.nodes[k].role == Role::Controller && told(n))
    }

    pub fn top(&self) -> Version {
        let at = self.up().map(|(_, n)| n.views.state.scope_at(&crate::fleet::state::Scope::Routes));
        at.max().unwrap_or_default()
    }

    pub fn in_force(&self, at: Version) -> bool {
        self.live(Role::Router).iter().all(|k| self.nodes[*k].routes_version >= at)
    }

    pub fn core_whole(&self) -> bool {
        let core: BTreeSet<NodeId> = self
            .up()
            .filter(|(k, _)| self.nodes[*k].role == Role::Controller)
            .map(|(_, n)| n.me.node)
            .collect();
        self.up().filter(|(k, _)| self.nodes[*k].role == Role::Controller).all(|(k, n)| {
            let chain = n.views.view.as_ref().map(|v| v.chain.iter().copied().collect::<BTreeSet<_>>());
            self.nodes[k].ready && chain.as_ref() == Some(&core)
        })
    }

    pub fn all_fresh(&self) -> bool {
        self.live(Role::Router).iter().all(|k| self.nodes[*k].is_fresh(self.now))
    }

    pub fn whole(&self) -> bool {
        self.all_fresh() && self.core_whole() && self.in_force(self.top()) && self.may_order()
    }

    pub fn core_line(&self, since: Time) -> String {
        let row = |(k, n): (usize, &Node)| {
            let view =
                n.views.view.as_ref().map_or("no view".into(), |v| format!("{} of {}", v.no, v.chain.len()));
            let bids = n.journal.since(0).filter(|r| r.1 >= since);
            let bids = bids.filter(|r| r.2.text().is_some_and(|(what, _)| what == "bid")).count();
            format!("z{}: {view} in chain, {bids} bids", self.size.zone(k))
        };
        let core = self.up().filter(|(k, _)| self.nodes[*k].role == Role::Controller);
        format!("  controllers in {}", core.map(row).collect::<Vec<_>>().join("; "))
    }

    pub fn sample(&mut self) {
        let (now, ms) = (self.now, SAMPLE.as_ms());
        let mut j = std::mem::take(&mut self.judge);
        for n in self.nodes.iter().filter(|n| n.role == Role::Router) {
            match n.node {
                None => j.down_ms += ms,
                Some(_) if !n.is_fresh(now) => j.stale_ms += ms,
                _ => {}
            }
        }
        if !self.may_order() {
            j.bare_ms += ms;
        }
        let known = &mut j.known;
        j.losses.retain(|(who, at)| {
            let quiet = self.up().all(|(_, n)| !lives(n, *who));
            if quiet {
                known.push(now.since(*at));
            }
            !quiet
        });
        let (seen, served) = (&mut j.seen, &mut j.served);
        j.arrivals.retain_mut(|a| {
            let n = &self.nodes[a.place];
            let Some(me) = n.node.as_ref().filter(|_| n.life == a.life) else { return false };
            if !a.known && self.up().all(|(k, n)| k == a.place || lives(n, me.me.node)) {
                a.known = true;
                seen.push(now.since(a.since));
            }
            let fit = if n.role == Role::Router { n.is_fresh(now) } else { n.ready };
            if !a.serves && fit {
                a.serves = true;
                served.push(now.since(a.since));
            }
            !(a.known && a.serves)
        });
        let held = |n: &Name| self.runners.iter().any(|r| r.holds.contains(n));
        let (met, unmet) = (&mut j.met, &mut j.unmet);
        j.wants.retain(|(name, at)| {
            let (old, done) = (now.since(*at) > Span::ms(30_000), held(name));
            if done {
                met.push(now.since(*at));
            }
            *unmet += u64::from(old && !done);
            !(old || done)
        });
        self.doubts(&mut j);
        self.judge = j;
    }

    fn doubts(&self, j: &mut Judge) {
        let ids: Vec<(usize, NodeId)> = self.up().map(|(k, n)| (k, n.me.node)).collect();
        let step = self.nodes.len() / 5 + 1;
        for (k, n) in
            self.up().filter(|(k, n)| k % step == 0 && self.now.since(n.me.started) > Span::ms(5000))
        {
            let around = ids.iter().filter(|(m, _)| {
                *m != k && !self.is_cut(k, *m) && self.now.since(self.nodes[*m].up) > Span::ms(5000)
            });
            for (_, who) in around {
                j.looked += 1;
                j.doubts += u64::from(!lives(n, *who));
            }
        }
    }
}

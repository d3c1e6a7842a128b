use super::core::Chain;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::ChainMsg;
use std::collections::BTreeMap;

pub const LEASE: Span = Span::ms(800);
pub const LEASE_PROMISE: Span = Span::ms(850);
pub const ASK: Span = Span::ms(200);

#[derive(Clone, Default)]
pub struct Lease {
    pub until: Time,
    pub asked: Time,
    pub grants: BTreeMap<NodeId, Time>,
}

impl Chain {
    pub fn renew_lease(&mut self, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_tail() || !self.ready || self.awaits_first_vote(ctx) {
            return;
        }
        if ctx.now.since(self.lease.asked) < ASK {
            return;
        }
        self.lease.asked = ctx.now;
        for node in &view.voters {
            ctx.chain(*node, ChainMsg::LeaseRequest { view: view.no, sent: ctx.now });
        }
    }

    pub fn lease_requested(&mut self, from: NodeId, no: ViewNo, sent: Time, ctx: &mut Context) {
        let Some(view) = &self.view else { return };
        if view.no != no || view.tail() != Some(from) || !view.voters.contains(&self.ident) {
            return;
        }
        if self.in_restart_wait(ctx.now) || !self.acceptor.may_grant(ctx.now) {
            return;
        }
        self.acceptor.hold = ctx.now + LEASE_PROMISE;
        ctx.chain(from, ChainMsg::LeaseGrant { view: no, sent });
    }

    pub fn lease_granted(&mut self, from: NodeId, no: ViewNo, sent: Time, _kit: &mut Context) {
        let Some(view) = &self.view else { return };
        if view.no != no || !self.is_tail() || !view.voters.contains(&from) {
            return;
        }
        let best = self.lease.grants.entry(from).or_default();
        *best = (*best).max(sent);
        let mut sends: Vec<Time> = self.lease.grants.values().copied().collect();
        sends.sort();
        sends.reverse();
        if let Some(t) = sends.get(view.majority() - 1) {
            self.lease.until = self.lease.until.max(*t + LEASE);
        }
    }

    pub fn in_restart_wait(&self, now: Time) -> bool {
        now.since(self.started) < LEASE_PROMISE + Span::ms(50)
    }
}

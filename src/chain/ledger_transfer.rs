//! Transfer of the ledger of serving leases to a member that joined the chain or was restarted.
//!
//! Such a member asks its predecessor, by a nonce of its own, until it is answered. In the view that both are in
//! the predecessor has recorded each application before this member got it, and it covers the leases of earlier
//! views by its records or by its own `unknown_until`. So its answer covers every lease that the asking member
//! can't know. The nonce keeps an answer to an earlier life of the process from counting: what was granted after
//! that answer would be missing. Times travel as what is left, so that a delay only lengthens them.

use super::serving_leases::{LeaseHolder, ServingLeases};
use crate::distribution::messages::LeaseNumber;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::ChainMsg;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// How often the predecessor is asked again.
const REQUEST_INTERVAL: Span = Span::ms(100);

/// A router with a lease, as the predecessor has recorded it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LedgerRow {
    pub router: NodeId,
    /// What is left of the lease.
    pub left: Span,
    pub versions: Vec<Version>,
    pub address: Option<SocketAddr>,
    pub number: LeaseNumber,
}

/// The ledger of the predecessor.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LeaseLedger {
    /// How long leases that the predecessor doesn't know of may still run.
    pub unknown: Span,
    pub rows: Vec<LedgerRow>,
}

/// The request for the predecessor's ledger that is under way.
#[derive(Clone, Default)]
pub(super) struct LedgerRequest {
    nonce: Option<u64>,
    sent: Time,
}

impl ServingLeases {
    /// Begins to ask: all answers to earlier requests are void.
    pub(super) fn renew_ledger_request(&mut self, ctx: &mut Context) {
        self.ledger_request = LedgerRequest { nonce: Some(ctx.rand.next()), sent: Time(0) };
    }

    /// Asks the predecessor while leases that this member doesn't know of could hold up a release.
    pub(super) fn request_ledger(&mut self, ctx: &mut Context) {
        let Some(nonce) = self.ledger_request.nonce else { return };
        if self.unknown_until() <= ctx.now + ctx.me.freshness_limit {
            self.ledger_request.nonce = None;
            return;
        }
        let Some(view) = self.current_view(ctx) else { return };
        if ctx.now.since(self.ledger_request.sent) < REQUEST_INTERVAL {
            return;
        }
        if let Some(previous) = view.before(ctx.me.node) {
            self.ledger_request.sent = ctx.now;
            ctx.chain(previous, ChainMsg::LeaseLedgerRequest { view: view.no, nonce });
        }
    }

    /// At the predecessor: answers with all that it has recorded.
    pub(super) fn on_ledger_request(&self, from: NodeId, view_no: ViewNo, nonce: u64, ctx: &mut Context) {
        let view = self.current_view(ctx).filter(|v| v.no == view_no && v.after(ctx.me.node) == Some(from));
        if view.is_some() {
            let ledger = self.ledger(ctx.now);
            ctx.chain(from, ChainMsg::LeaseLedger { view: view_no, nonce, ledger });
        }
    }

    /// Takes over the predecessor's ledger, besides what was recorded since it was asked for.
    pub(super) fn on_ledger(&mut self, view_no: ViewNo, nonce: u64, ledger: &LeaseLedger, ctx: &Context) {
        let current = self.current_view(ctx).is_some_and(|v| v.no == view_no);
        if !current || self.ledger_request.nonce != Some(nonce) {
            return;
        }
        for row in &ledger.rows {
            self.merge_holder(row, ctx.now);
        }
        self.limit_unknown_until(ctx.now + ledger.unknown);
        if ledger.unknown == Span(0) {
            self.ledger_request.nonce = None;
        }
    }

    fn ledger(&self, now: Time) -> LeaseLedger {
        let running = self.holders.iter().filter(|(_, holder)| holder.until > now);
        let rows = running.map(|(router, holder)| holder.to_row(*router, now)).collect();
        LeaseLedger { unknown: self.unknown_until().since(now), rows }
    }

    /// The lease counts as the longer one of both; what the router is known to have stays as recorded here.
    fn merge_holder(&mut self, row: &LedgerRow, now: Time) {
        let until = now + row.left;
        let (versions, address, number) = (row.versions.clone(), row.address, row.number);
        let given = LeaseHolder { until, versions, address, number };
        let holder = self.holders.entry(row.router).or_insert(given);
        holder.until = holder.until.max(until);
        holder.number = holder.number.max(number);
    }
}

impl LeaseHolder {
    fn to_row(&self, router: NodeId, now: Time) -> LedgerRow {
        let left = self.until.since(now);
        LedgerRow {
            router,
            left,
            versions: self.versions.clone(),
            address: self.address,
            number: self.number,
        }
    }
}

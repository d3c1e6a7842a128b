//! Transfer of the ledger of serving leases to a member that joined the chain or was restarted.
//!
//! Such a member asks its predecessor, with a nonce, until it is answered. In their common view the predecessor has
//! recorded each application before this member got it, and it covers the leases of earlier views by its records or
//! by its own `unknown_until`. So its answer covers every lease that the asking member cannot know. The nonce keeps
//! an answer to an earlier incarnation of the process from counting, which would lack the leases granted since.
//! Times are sent as remaining durations, so that a delay only lengthens them.

use super::serving_leases::{LeaseHolder, ServingLeases};
use crate::distribution::messages::LeaseNumber;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::ChainMsg;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// How often the request is repeated.
const REQUEST_INTERVAL: Span = Span::ms(100);

/// A router with a lease, as the predecessor has recorded it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LedgerRow {
    /// The router.
    pub router: NodeId,
    /// The remaining time of the lease.
    pub left: Span,
    /// The versions that the router has confirmed to have.
    pub versions: Vec<Version>,
    /// The address of the router, if known.
    pub address: Option<SocketAddr>,
    /// The number of the application.
    pub number: LeaseNumber,
}

/// The ledger of the predecessor.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct LeaseLedger {
    /// For how long leases that the predecessor does not know of may still run.
    pub unknown: Span,
    /// All running leases.
    pub rows: Vec<LedgerRow>,
}

/// The pending request for the predecessor's ledger.
#[derive(Clone, Default)]
pub(super) struct LedgerRequest {
    nonce: Option<u64>,
    sent: Time,
}

impl ServingLeases {
    /// Starts a new request with a new nonce, so that answers to earlier requests are ignored.
    pub(super) fn renew_ledger_request(&mut self, ctx: &mut Context) {
        self.ledger_request = LedgerRequest { nonce: Some(ctx.rand.next()), sent: Time(0) };
    }

    /// Asks the predecessor while leases that this member does not know of could delay a release.
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
        if let Some(previous) = view.predecessor(ctx.me.node) {
            self.ledger_request.sent = ctx.now;
            ctx.chain(previous, ChainMsg::LeaseLedgerRequest { view: view.no, nonce });
        }
    }

    /// On the predecessor: answers with all recorded leases.
    pub(super) fn on_ledger_request(&self, from: NodeId, view_no: ViewNo, nonce: u64, ctx: &mut Context) {
        let view =
            self.current_view(ctx).filter(|v| v.no == view_no && v.successor(ctx.me.node) == Some(from));
        if view.is_some() {
            let ledger = self.ledger(ctx.now);
            ctx.chain(from, ChainMsg::LeaseLedger { view: view_no, nonce, ledger });
        }
    }

    /// Merges the predecessor's ledger into what was recorded here since the request.
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

    /// Keeps the longer of the two leases; the versions recorded here take precedence.
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

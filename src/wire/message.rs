//! Encodes a message as its kind and its payload, with a coder for that kind alone. A coder for all kinds
//! would visit the columns of every kind for each message, although most of them are empty.
#![deny(missing_docs)]

use crate::distribution::history::UpdateBody;
use crate::fleet::state::Scope;
use crate::kernel::ids::Version;
use crate::kernel::time::Span;
use crate::msg::*;
use bitcode::Buffer;
use std::sync::Arc;

/// All kinds that share one coder.
const OTHER: u8 = 0;
/// The kinds whose payload has a coder of its own.
const PING: u8 = 1;
const PONG: u8 = 2;
const GOSSIP: u8 = 3;
const TELL: u8 = 4;
const WANT: u8 = 5;
const HELD: u8 = 6;
const UPDATE_REQUEST: u8 = 7;
const LEASE_REQUEST: u8 = 8;
const LEASE_GRANT: u8 = 9;
const CHAIN: u8 = 10;
const UPDATE_REPLY: u8 = 11;
const UPDATE_PUSH: u8 = 12;
const HEARTBEAT: u8 = 13;
const PROGRESS: u8 = 14;
const CHAIN_LEASE_REQUEST: u8 = 15;
const CHAIN_LEASE_GRANT: u8 = 16;
const LEASE_APPLICATIONS: u8 = 17;
const RELEASED: u8 = 18;
/// An update reply in which nothing changed, like most.
const UPDATE_SAME: u8 = 19;
const HELD_ASK: u8 = 20;
const SYNC: u8 = 21;
const NUDGE: u8 = 22;
const CONSTRAINT: u8 = 23;

/// Appends a message to `body`.
pub(super) fn put(msg: &Msg, coder: &mut Buffer, body: &mut Vec<u8>) {
    match msg {
        Msg::Ping(g) => part(PING, &**g, coder, body),
        Msg::Pong(g) => part(PONG, &**g, coder, body),
        Msg::Gossip(g) => part(GOSSIP, &**g, coder, body),
        Msg::RouterReport(tell) => part(TELL, &**tell, coder, body),
        Msg::UnmetDemand(rows) => part(WANT, rows, coder, body),
        Msg::Holdings(held) => part(HELD, &**held, coder, body),
        Msg::Constraint(msg) => part(CONSTRAINT, msg, coder, body),
        Msg::UpdateRequest { nonce, direct, have } => {
            part(UPDATE_REQUEST, &(*nonce, *direct, have.clone()), coder, body)
        }
        Msg::UpdateReply { nonce, items } => put_reply(*nonce, items, coder, body),
        Msg::UpdatePush { items } => part(UPDATE_PUSH, items, coder, body),
        Msg::ServingLeaseRequest(request) => part(LEASE_REQUEST, request, coder, body),
        Msg::ServingLeaseGrant(grant) => part(LEASE_GRANT, grant, coder, body),
        Msg::Chain(ChainMsg::Heartbeat { view, has_room, is_impaired, is_leaving }) => {
            part(HEARTBEAT, &(*view, *has_room, *is_impaired, *is_leaving), coder, body)
        }
        Msg::Chain(ChainMsg::Progress { view, synced, committed, synced_to_tail }) => {
            part(PROGRESS, &(*view, *synced, *committed, *synced_to_tail), coder, body)
        }
        Msg::Chain(ChainMsg::LeaseRequest { view, sent }) => {
            part(CHAIN_LEASE_REQUEST, &(*view, *sent), coder, body)
        }
        Msg::Chain(ChainMsg::LeaseGrant { view, sent }) => {
            part(CHAIN_LEASE_GRANT, &(*view, *sent), coder, body)
        }
        Msg::Chain(ChainMsg::LeaseApplications { view, rows }) => {
            part(LEASE_APPLICATIONS, &(*view, rows.clone()), coder, body)
        }
        Msg::Chain(ChainMsg::Released { view, upto }) => part(RELEASED, &(*view, *upto), coder, body),
        Msg::HoldingsRequest => body.push(HELD_ASK),
        Msg::GossipRequest => body.push(SYNC),
        Msg::RequestUpdates => body.push(NUDGE),
        Msg::Chain(msg) => part(CHAIN, msg, coder, body),
        other => part(OTHER, other, coder, body),
    }
}

fn part<T: bitcode::Encode>(kind: u8, payload: &T, coder: &mut Buffer, body: &mut Vec<u8>) {
    body.push(kind);
    body.extend(coder.encode(payload));
}

fn put_reply(nonce: u64, items: &Vec<TopicUpdate>, coder: &mut Buffer, body: &mut Vec<u8>) {
    let same = items.iter().all(|item| matches!(item.body, UpdateBody::Same));
    body.push(if same { UPDATE_SAME } else { UPDATE_REPLY });
    body.extend(nonce.to_le_bytes());
    if same {
        let rows: Vec<(Scope, Version, Span)> =
            items.iter().map(|item| (item.scope.clone(), item.at, item.age)).collect();
        body.extend(coder.encode(&rows));
    } else {
        body.extend(coder.encode(items));
    }
}

fn take_same(raw: &[u8], coder: &mut Buffer) -> Option<Vec<TopicUpdate>> {
    let rows: Vec<(Scope, Version, Span)> = coder.decode(raw).ok()?;
    let item = |(scope, at, age)| TopicUpdate { scope, at, age, body: UpdateBody::Same };
    Some(rows.into_iter().map(item).collect())
}

/// The message in a body; `None` if it is malformed.
pub(super) fn take(body: &[u8], coder: &mut Buffer) -> Option<Msg> {
    let (kind, raw) = body.split_first()?;
    Some(match *kind {
        PING => Msg::Ping(Box::new(coder.decode(raw).ok()?)),
        PONG => Msg::Pong(Box::new(coder.decode(raw).ok()?)),
        GOSSIP => Msg::Gossip(Box::new(coder.decode(raw).ok()?)),
        TELL => Msg::RouterReport(Arc::new(coder.decode(raw).ok()?)),
        WANT => Msg::UnmetDemand(coder.decode(raw).ok()?),
        HELD => Msg::Holdings(std::sync::Arc::new(coder.decode(raw).ok()?)),
        CONSTRAINT => Msg::Constraint(coder.decode(raw).ok()?),
        UPDATE_REQUEST => {
            let (nonce, direct, have) = coder.decode(raw).ok()?;
            Msg::UpdateRequest { nonce, direct, have }
        }
        UPDATE_REPLY => {
            let (nonce, items) = raw.split_first_chunk::<8>()?;
            Msg::UpdateReply { nonce: u64::from_le_bytes(*nonce), items: coder.decode(items).ok()? }
        }
        UPDATE_SAME => {
            let (nonce, rows) = raw.split_first_chunk::<8>()?;
            Msg::UpdateReply { nonce: u64::from_le_bytes(*nonce), items: take_same(rows, coder)? }
        }
        UPDATE_PUSH => Msg::UpdatePush { items: coder.decode(raw).ok()? },
        LEASE_REQUEST => Msg::ServingLeaseRequest(coder.decode(raw).ok()?),
        LEASE_GRANT => Msg::ServingLeaseGrant(coder.decode(raw).ok()?),
        HEARTBEAT => {
            let (view, has_room, is_impaired, is_leaving) = coder.decode(raw).ok()?;
            Msg::Chain(ChainMsg::Heartbeat { view, has_room, is_impaired, is_leaving })
        }
        PROGRESS => {
            let (view, synced, committed, synced_to_tail) = coder.decode(raw).ok()?;
            Msg::Chain(ChainMsg::Progress { view, synced, committed, synced_to_tail })
        }
        CHAIN_LEASE_REQUEST => {
            let (view, sent) = coder.decode(raw).ok()?;
            Msg::Chain(ChainMsg::LeaseRequest { view, sent })
        }
        CHAIN_LEASE_GRANT => {
            let (view, sent) = coder.decode(raw).ok()?;
            Msg::Chain(ChainMsg::LeaseGrant { view, sent })
        }
        LEASE_APPLICATIONS => {
            let (view, rows) = coder.decode(raw).ok()?;
            Msg::Chain(ChainMsg::LeaseApplications { view, rows })
        }
        RELEASED => {
            let (view, upto) = coder.decode(raw).ok()?;
            Msg::Chain(ChainMsg::Released { view, upto })
        }
        HELD_ASK if raw.is_empty() => Msg::HoldingsRequest,
        SYNC if raw.is_empty() => Msg::GossipRequest,
        NUDGE if raw.is_empty() => Msg::RequestUpdates,
        CHAIN => Msg::Chain(coder.decode(raw).ok()?),
        OTHER => coder.decode(raw).ok()?,
        _ => return None,
    })
}

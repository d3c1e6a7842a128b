//! Every kind of message decodes to what was encoded, and a shortened or lengthened one never decodes to
//! another kind.

use spindledock::chain::acceptor::AcceptedView;
use spindledock::chain::ledger_transfer::{LeaseLedger, LedgerRow};
use spindledock::chain::view::View;
use spindledock::constraints::messages::*;
use spindledock::distribution::history::UpdateBody;
use spindledock::fleet::config::Class;
use spindledock::fleet::holdings::{HoldingsUpdate, UnmetDemand};
use spindledock::fleet::state::{Change, Scope};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::msg::*;
use spindledock::wire;
use std::net::SocketAddr;
use std::sync::Arc;

fn addr() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 7001))
}

fn member() -> Member {
    let domain = Name::from("zone-a");
    Member { node: NodeId(7), role: Role::Router, domain, addr: addr(), admin: addr() }
}

fn view() -> View {
    View { no: ViewNo(4), chain: vec![NodeId(1), NodeId(2)], voters: vec![NodeId(1), NodeId(2), NodeId(3)] }
}

fn gossip() -> Box<Gossip> {
    let claim = Claim { who: member(), is_live: true, age: Span::ms(7) };
    let mark = Mark { instance: Name::from("i-1"), age: Span::ms(9) };
    let view = Some(view());
    Box::new(Gossip { digest: 5, view_at: ViewNo(4), rows: vec![claim], marks: vec![mark], view })
}

fn entry() -> Entry {
    let change = Arc::new(Change::Duty { holder: NodeId(2) });
    Entry { at: Version(9), view: ViewNo(4), change }
}

fn lease_request() -> ServingLeaseRequest {
    ServingLeaseRequest { nonce: 3, last_grant: LeaseNumber::default(), versions: vec![Version(8)] }
}

fn application() -> LeaseApplication {
    let (number, request) = (LeaseNumber::default(), lease_request());
    LeaseApplication { number, router: NodeId(7), address: Some(addr()), request }
}

fn same(scope: Scope) -> TopicUpdate {
    TopicUpdate { scope, at: Version(3), age: Span::ms(40), body: UpdateBody::Same }
}

fn ledger() -> LeaseLedger {
    let (router, number, address) = (NodeId(7), LeaseNumber::default(), Some(addr()));
    let row = LedgerRow { router, left: Span::ms(5), versions: vec![Version(8)], address, number };
    LeaseLedger { unknown: Span::ms(9), rows: vec![row] }
}

fn chain_messages() -> Vec<ChainMsg> {
    let (next, ledger) = (view(), ledger());
    let (view, sent, ballot) = (ViewNo(4), Time(77), Ballot::default());
    let accepted = AcceptedView { ballot, view: next.clone() };
    vec![
        ChainMsg::PledgeRequest { fleet: FleetId(3), members: vec![NodeId(1)], sent },
        ChainMsg::PledgeReply { fleet: FleetId(3), sent },
        ChainMsg::Append { view, is_announcement: true, log_last: Version(9), entries: vec![entry()] },
        ChainMsg::Progress { view, synced: Version(9), committed: Version(8), synced_to_tail: Version(7) },
        ChainMsg::Heartbeat { view, has_room: true, is_impaired: false, is_leaving: true },
        ChainMsg::JoinRequest { synced: Version(2), is_following: true },
        ChainMsg::JoinAck,
        ChainMsg::CatchUp { entries: vec![entry()], committed: Version(9) },
        ChainMsg::Prepare { view_no: view, ballot, lost_member: Some(NodeId(5)), silence: Span::ms(3) },
        ChainMsg::Snapshot { at: Version(9), state: Box::default() },
        ChainMsg::Promise { view_no: view, ballot, accepted: Some(accepted) },
        ChainMsg::Accept { ballot, view: next.clone() },
        ChainMsg::Accepted { view_no: view, ballot },
        ChainMsg::Nack { view_no: view, ballot },
        ChainMsg::ViewDecided { view: next },
        ChainMsg::LeaseRequest { view, sent },
        ChainMsg::LeaseGrant { view, sent },
        ChainMsg::LeaseReturned { view, sent },
        ChainMsg::LeaseApplications { view, rows: vec![application()] },
        ChainMsg::Released { view, upto: Version(6) },
        ChainMsg::ReadIndexRequest { view, sent },
        ChainMsg::ReadIndexReply { view, sent, committed: Version(6) },
        ChainMsg::LeaseLedgerRequest { view, nonce: 5 },
        ChainMsg::LeaseLedger { view, nonce: 5, ledger },
    ]
}

fn constraint_messages() -> Vec<Msg> {
    let (key, tenant) = (AcquireKey(4), Name::from("t"));
    let asked = AcquireRow { tenant: tenant.clone(), needed: 2, ahead: 1 };
    let got = GrantedRow { tenant, tokens: 1, blocked: Some(Span::ms(100)) };
    let counter = HandedCounter { tenant: Name::from("t"), level: 7 };
    let rows = vec![
        ConstraintMsg::AuthorityRequest { view: ViewNo(2), sent: Time(9), config_version: Version(3) },
        ConstraintMsg::AuthorityGrant { view: ViewNo(2), sent: Time(9) },
        ConstraintMsg::Acquire(Acquire { key, rows: vec![asked] }),
        ConstraintMsg::Granted { key, rows: vec![got] },
        ConstraintMsg::NotOwner { key, view: Some(view()) },
        ConstraintMsg::ViewRequest,
        ConstraintMsg::HandoverRequest { view: ViewNo(2), asked: Time(9), tenants: vec![Name::from("t")] },
        ConstraintMsg::Handover { view: ViewNo(2), asked: Time(9), counters: vec![counter] },
        ConstraintMsg::ViewReply { view: Some(view()) },
    ];
    rows.into_iter().map(Msg::Constraint).collect()
}

fn messages() -> Vec<Msg> {
    let answer = Answer { status: 200, body: "{}".into(), retry_s: 0, redirect: Some(addr()) };
    let want = UnmetDemand { service: Name::from("s"), name: Name::from("m"), class: Class::Chat, count: 3 };
    let steps = TopicUpdate { body: UpdateBody::Steps(vec![]), ..same(Scope::Duty) };
    let grant = ServingLeaseGrant { nonce: 3, grant: LeaseNumber::default(), length: Span::ms(2000) };
    let (id, nonce) = (ChangeId::default(), 12);
    let plain = vec![
        Msg::Hello { me: member(), empty: true, digest: 4 },
        Msg::Welcome { empty: false, gossip: Some(gossip()) },
        Msg::Ping(gossip()),
        Msg::Pong(gossip()),
        Msg::Gossip(gossip()),
        Msg::Suspect { who: vec![NodeId(6)] },
        Msg::GossipRequest,
        Msg::UpdateRequest { nonce, direct: true, have: vec![(Scope::Duty, Version(3))] },
        Msg::UpdateReply { nonce, items: vec![] },
        Msg::UpdateReply { nonce, items: vec![same(Scope::Duty), same(Scope::Routes)] },
        Msg::UpdateReply { nonce, items: vec![same(Scope::Routes), steps.clone()] },
        Msg::UpdatePush { items: vec![steps] },
        Msg::UpdateRefused { nonce, view: Some(view()) },
        Msg::ServingLeaseRequest(lease_request()),
        Msg::ServingLeaseGrant(grant),
        Msg::OperatorCall { id, attempt: 2, op: OperatorCall::ProposePlan },
        Msg::CallPending { id, attempt: 2 },
        Msg::CallAnswer { id, attempt: 2, answer: answer.clone() },
        Msg::ReadCall { attempt: 1, path: "/status".into() },
        Msg::ReadAnswer { attempt: 1, answer },
        Msg::RouterReport(Arc::default()),
        Msg::RequestUpdates,
        Msg::UnmetDemand(vec![want]),
        Msg::Holdings(std::sync::Arc::new(HoldingsUpdate {
            holder: NodeId(5),
            term: Term(3),
            seq: 8,
            whole: true,
            relay: true,
            rows: vec![],
        })),
        Msg::HoldingsRequest,
    ];
    let plain = plain.into_iter().chain(constraint_messages());
    plain.chain(chain_messages().into_iter().map(Msg::Chain)).collect()
}

fn envelope(msg: Msg) -> Envelope {
    Envelope { from: NodeId(1), to: NodeId(2), fleet: FleetId(3), addr: addr(), msg }
}

fn body(raw: &[u8]) -> &[u8] {
    wire::decode_frame(raw, wire::MAX_NETWORK_BODY).expect("a frame").0
}

#[test]
fn given_each_kind_of_message_when_packed_and_unpacked_then_it_is_the_same() {
    for msg in messages() {
        let sent = envelope(msg);
        let raw = wire::encode_envelope(&sent);
        assert_eq!(wire::decode_envelope(body(&raw)).expect("it decodes"), sent);
    }
}

#[test]
fn given_each_kind_of_message_when_cut_short_or_lengthened_then_nothing_crashes_and_no_other_kind_comes_out()
{
    for msg in messages() {
        let sent = envelope(msg);
        let raw = wire::encode_envelope(&sent);
        let body = body(&raw);
        for len in 0..body.len() {
            let cut = wire::decode_envelope(&body[..len]);
            let kind = |m: &Msg| std::mem::discriminant(m);
            assert!(cut.is_err() || kind(&cut.expect("decoded").msg) == kind(&sent.msg));
        }
        let longer = [body, &[0]].concat();
        assert!(wire::decode_envelope(&longer).is_err(), "{sent:?}");
    }
}

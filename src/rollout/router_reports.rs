//! What a router tells of itself, sent to the controllers that use it.

use crate::chain::view::View;
use crate::kernel::component::{Component, Context, Views};
use crate::kernel::ids::{ChangeId, Name, NodeId, Version, ViewNo};
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::placement::placement_client::DutyHolderContact;
use std::sync::Arc;

/// With up to this many routers all controllers are told, so that a new holder knows the use of names at once.
const SMALL_FLEET_ROUTERS: usize = 32;
/// How often a router tells of itself in a small fleet. With more routers it does so less often, in proportion,
const SHORTEST_INTERVAL: Span = Span::ms(250);
/// but at least this often.
const LONGEST_INTERVAL: Span = Span::ms(1000);
/// How much later than its interval a report may come and is still taken for the newest.
const REPORT_DELAY: Span = Span::ms(950);

/// How many routers are known.
pub fn router_count(views: &Views) -> usize {
    views.members.iter().filter(|row| row.who.role == Role::Router).count()
}

/// Whether so many routers are few enough to turn to all controllers.
pub fn is_small_fleet(routers: usize) -> bool {
    routers <= SMALL_FLEET_ROUTERS
}

/// Whether the routers are few enough to tell all controllers of themselves.
pub fn reports_to_all_controllers(views: &Views) -> bool {
    is_small_fleet(router_count(views))
}

/// How often each of so many routers tells of itself.
pub fn report_interval(routers: usize) -> Span {
    let proportional = SHORTEST_INTERVAL.0 * routers as u64 / SMALL_FLEET_ROUTERS as u64;
    Span(proportional.clamp(SHORTEST_INTERVAL.0, LONGEST_INTERVAL.0))
}

/// How long the report of one of so many routers counts.
pub fn report_freshness(routers: usize) -> Span {
    report_interval(routers) + REPORT_DELAY
}

/// What the head was told last.
#[derive(Default, PartialEq)]
struct ToldHead {
    candidate: ChangeId,
    rehearsed: ChangeId,
    routes_version: Version,
    leaving: Vec<Name>,
}

/// Sends a router's state to those that use it. In a small fleet all controllers are told of all. In others the holder
/// of the placement duty is, at intervals, and the head of what it uses: routes, changes that are tried, and runners
/// that are leaving. Nobody is told in the holder's place while it is not known: a new one makes itself known.
#[derive(Default)]
pub struct RouterReporter {
    holder_contact: DutyHolderContact,
    holder: Option<NodeId>,
    view: ViewNo,
    /// When the holder is to be told next.
    next_report_at: Time,
    sent_to_head: ToldHead,
}

impl RouterReporter {
    fn track_receivers(&mut self, ctx: &Context) {
        let (view, holder) =
            (ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no), self.holder_contact.holder(ctx.now));
        if (view, holder) != (self.view, self.holder) {
            (self.view, self.holder) = (view, holder);
            self.sent_to_head = ToldHead::default();
        }
    }

    fn report_to_all(tell: &Arc<RouterReport>, ctx: &mut Context) {
        let receivers: Vec<NodeId> = ctx.views.controllers().map(|row| row.who.node).collect();
        for to in receivers {
            ctx.send(to, Msg::RouterReport(tell.clone()));
        }
    }

    fn report_to_users(&mut self, tell: &Arc<RouterReport>, routers: usize, ctx: &mut Context) {
        let head = ctx.views.view.as_ref().and_then(View::head);
        let news = self.is_news_for_head(tell);
        if let Some(head) = head.filter(|_| news) {
            ctx.send(head, Msg::RouterReport(tell.clone()));
        }
        if ctx.now < self.next_report_at && !news {
            return;
        }
        self.next_report_at = next_report_time(ctx.me.node, report_interval(routers), ctx.now);
        if let Some(holder) = self.holder.filter(|holder| !news || head != Some(*holder)) {
            ctx.send(holder, Msg::RouterReport(tell.clone()));
        }
    }

    /// Whether the head is to be told at once. It is told anew as long as a change is tried or a runner is leaving.
    fn is_news_for_head(&mut self, tell: &RouterReport) -> bool {
        let told = ToldHead {
            candidate: tell.candidate_seen,
            rehearsed: tell.rehearsal.as_ref().map(|rehearsal| rehearsal.id).unwrap_or_default(),
            routes_version: tell.routes_version,
            leaving: tell.leaving.clone(),
        };
        let is_ongoing = told.candidate != ChangeId::default() || !told.leaving.is_empty();
        let news = is_ongoing || !tell.live.is_empty() || told != self.sent_to_head;
        self.sent_to_head = told;
        news
    }
}

/// The next time at which it is this router's turn, so that not all tell at the same moment.
fn next_report_time(me: NodeId, interval: Span, now: Time) -> Time {
    let offset = mix(me.0) % interval.0;
    let since_turn = (now.0 + interval.0 - offset) % interval.0;
    now + Span(interval.0 - since_turn)
}

impl Component for RouterReporter {
    fn name(&self) -> &'static str {
        "teller"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Journal(JournalEvent::Members(rows)) => {
                let known = rows.iter().filter(|r| r.who.role == Role::Router);
                ctx.effects.push(Effect::RouterCount(known.count() as u64));
            }
            Event::Message { msg: Msg::Holdings(tell), .. } => {
                self.holder_contact.record_message(tell.holder, tell.term, ctx.now);
            }
            Event::RouterState(tell) => {
                for name in &tell.leaving {
                    ctx.publish(JournalEvent::RunnerMarked(name.clone()));
                }
                self.track_receivers(ctx);
                match router_count(ctx.views) {
                    few if is_small_fleet(few) => Self::report_to_all(tell, ctx),
                    many => self.report_to_users(tell, many, ctx),
                }
            }
            _ => {}
        }
    }
}

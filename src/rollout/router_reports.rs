//! Sends a router's reports of its own state to the controllers that use them.

use crate::chain::view::View;
use crate::kernel::component::{Component, Context, Views};
use crate::kernel::ids::{ChangeId, Name, NodeId, Version, ViewNo};
use crate::kernel::rand::mix;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::placement::placement_client::DutyHolderContact;
use std::sync::Arc;

/// With up to this many routers all controllers get their reports, so that a new duty holder knows the use of
/// names at once.
const SMALL_FLEET_ROUTERS: usize = 32;
/// How often a router reports in a small fleet. With more routers it does so less often, in proportion,
const SHORTEST_INTERVAL: Span = Span::ms(250);
/// but at least this often.
const LONGEST_INTERVAL: Span = Span::ms(1000);
/// How much later than its interval a report may arrive and still be used.
const REPORT_DELAY: Span = Span::ms(950);

/// How many routers are known.
pub fn router_count(views: &Views) -> usize {
    views.members.iter().filter(|row| row.who.role == Role::Router).count()
}

/// Whether so many routers are few enough to send to all controllers.
pub fn is_small_fleet(routers: usize) -> bool {
    routers <= SMALL_FLEET_ROUTERS
}

/// Whether the routers are few enough to report to all controllers.
pub fn reports_to_all_controllers(views: &Views) -> bool {
    is_small_fleet(router_count(views))
}

/// How often each of so many routers reports.
pub fn report_interval(routers: usize) -> Span {
    let proportional = SHORTEST_INTERVAL.0 * routers as u64 / SMALL_FLEET_ROUTERS as u64;
    Span(proportional.clamp(SHORTEST_INTERVAL.0, LONGEST_INTERVAL.0))
}

/// How long a report is used, with so many routers.
pub fn report_freshness(routers: usize) -> Span {
    report_interval(routers) + REPORT_DELAY
}

/// What the head was last sent.
#[derive(Default, PartialEq)]
struct ToldHead {
    candidate: ChangeId,
    rehearsed: ChangeId,
    routes_version: Version,
    leaving: Vec<Name>,
}

/// Sends a router's reports. In a small fleet all controllers get all of them. In a larger one the duty
/// holder gets them at intervals, and the head when something it uses changes: routes, candidate
/// configurations, and leaving runners. While the holder is not known nobody gets reports in its place; a new
/// holder makes itself known.
#[derive(Default)]
pub struct RouterReporter {
    holder_contact: DutyHolderContact,
    holder: Option<NodeId>,
    view: ViewNo,
    /// When the holder gets the next report.
    next_report_at: Time,
    sent_to_head: ToldHead,
}

impl RouterReporter {
    /// Forgets what the head was sent if the view or the holder has changed.
    fn track_receivers(&mut self, ctx: &Context) {
        let (view, holder) =
            (ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no), self.holder_contact.holder(ctx.now));
        if (view, holder) != (self.view, self.holder) {
            (self.view, self.holder) = (view, holder);
            self.sent_to_head = ToldHead::default();
        }
    }

    /// Sends a report to all controllers.
    fn report_to_all(report: &Arc<RouterReport>, ctx: &mut Context) {
        let receivers: Vec<NodeId> = ctx.views.controllers().map(|row| row.who.node).collect();
        for to in receivers {
            ctx.send(to, Msg::RouterReport(report.clone()));
        }
    }

    /// Sends a report to the head if it contains news for it, and to the holder if that or the interval calls
    /// for it.
    fn report_to_users(&mut self, report: &Arc<RouterReport>, routers: usize, ctx: &mut Context) {
        let head = ctx.views.view.as_ref().and_then(View::head);
        let news = self.is_news_for_head(report);
        if let Some(head) = head.filter(|_| news) {
            ctx.send(head, Msg::RouterReport(report.clone()));
        }
        if ctx.now < self.next_report_at && !news {
            return;
        }
        self.next_report_at = next_report_time(ctx.me.node, report_interval(routers), ctx.now);
        if let Some(holder) = self.holder.filter(|holder| !news || head != Some(*holder)) {
            ctx.send(holder, Msg::RouterReport(report.clone()));
        }
    }

    /// Whether the head gets this report at once. It gets every report while a candidate is tried or a runner
    /// is leaving.
    fn is_news_for_head(&mut self, report: &RouterReport) -> bool {
        let current = ToldHead {
            candidate: report.candidate_seen,
            rehearsed: report.rehearsal.as_ref().map(|rehearsal| rehearsal.id).unwrap_or_default(),
            routes_version: report.routes_version,
            leaving: report.leaving.clone(),
        };
        let is_ongoing = current.candidate != ChangeId::default() || !current.leaving.is_empty();
        let news = is_ongoing || !report.live.is_empty() || current != self.sent_to_head;
        self.sent_to_head = current;
        news
    }
}

/// The next time at which it is this router's turn, so that not all report at the same moment.
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

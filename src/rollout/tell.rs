//! What a router tells of itself, sent to the controllers that use it.

use crate::chain::view::View;
use crate::kernel::component::{Component, Context, Views};
use crate::kernel::ids::{ChangeId, Name, NodeId, Version, ViewNo};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::placement::seeker::HolderContact;

/// How long all controllers are told after the view or the holder of the placement duty changed.
const UNSETTLED: Span = Span::ms(2000);
/// Until then, and while no holder is known, all controllers are told at most this often for each router: the
/// changes come when the controllers have the least time to spare.
const TELL_ALL_PER_ROUTER: Span = Span::ms(5);
/// While nothing but figures changes, the head and the holder are told at most this often for each router.
const TELL_PER_ROUTER: Span = Span(1_500);
/// With up to this many routers all controllers are told, so that a new holder knows the use of names at once.
const ROUTERS_TELLING_ALL: u64 = 32;

/// Whether the routers are few enough to tell all controllers of themselves.
pub fn tells_all(views: &Views) -> bool {
    routers(views) <= ROUTERS_TELLING_ALL
}

fn routers(views: &Views) -> u64 {
    views.members.iter().filter(|row| row.who.role == Role::Router).count() as u64
}

/// What others wait for in a router's state; the rest are figures.
#[derive(Default, PartialEq)]
struct Awaited {
    trial_seen: ChangeId,
    routes_at: Version,
    rehearsed: Option<ChangeId>,
    leaving: Vec<Name>,
}

impl Awaited {
    fn of(tell: &RouterTell) -> Awaited {
        Awaited {
            trial_seen: tell.trial_seen,
            routes_at: tell.routes_at,
            rehearsed: tell.rehearsal.as_ref().map(|rehearsal| rehearsal.id),
            leaving: tell.leaving.clone(),
        }
    }
}

/// Sends a router's state to the head, which rolls out changes, and to the holder of the placement duty; in a
/// small fleet to all controllers.
#[derive(Default)]
pub struct Teller {
    contact: HolderContact,
    holder: Option<NodeId>,
    view: ViewNo,
    changed: Time,
    told: Time,
    told_all: Time,
    awaited: Awaited,
}

impl Teller {
    fn note_changes(&mut self, ctx: &Context) {
        let (view, holder) =
            (ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no), self.contact.holder(ctx.now));
        if (view, holder) != (self.view, self.holder) {
            (self.view, self.holder, self.changed) = (view, holder, ctx.now);
        }
    }

    fn receivers(&mut self, ctx: &Context) -> Vec<NodeId> {
        if tells_all(ctx.views) || self.tells_all_now(ctx) {
            return ctx.views.controllers().map(|r| r.who.node).collect();
        }
        let head = ctx.views.view.as_ref().and_then(View::head);
        let mut both: Vec<NodeId> = head.into_iter().chain(self.holder).collect();
        both.dedup();
        both
    }

    /// Whether this state is sent: one that nobody waits for is left out while many routers tell theirs.
    fn is_due(&mut self, tell: &RouterTell, ctx: &Context) -> bool {
        let awaited = Awaited::of(tell);
        let news = awaited != self.awaited || !tell.live.is_empty() || !tell.moves.is_empty();
        let due = news || ctx.now.since(self.told) >= Span(TELL_PER_ROUTER.0 * routers(ctx.views));
        if due {
            (self.told, self.awaited) = (ctx.now, awaited);
        }
        due
    }

    /// Whether it is time to tell all controllers, as the head or the holder is new or not known.
    fn tells_all_now(&mut self, ctx: &Context) -> bool {
        let head = ctx.views.view.as_ref().and_then(View::head);
        let known = head.is_some() && self.holder.is_some();
        if known && ctx.now.since(self.changed) >= UNSETTLED {
            return false;
        }
        let due = ctx.now.since(self.told_all) >= Span(TELL_ALL_PER_ROUTER.0 * routers(ctx.views));
        if due {
            self.told_all = ctx.now;
        }
        due
    }
}

impl Component for Teller {
    fn name(&self) -> &'static str {
        "teller"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Journal(JournalEvent::Members(rows)) => {
                let known = rows.iter().filter(|r| r.who.role == Role::Router);
                ctx.out.push(Effect::Routers(known.count() as u64));
            }
            Event::Mail { from, msg: Msg::Held(tell), .. } => {
                self.contact.heard(*from, tell.term, ctx.now);
            }
            Event::RouterState(tell) => {
                for name in &tell.leaving {
                    ctx.publish(JournalEvent::RunnerMarked(name.clone()));
                }
                self.note_changes(ctx);
                if !self.is_due(tell, ctx) {
                    return;
                }
                for to in self.receivers(ctx) {
                    ctx.send(to, Msg::Tell(tell.clone()));
                }
            }
            _ => {}
        }
    }
}

//! What a router tells of itself, sent to the controllers that use it.

use crate::chain::view::View;
use crate::kernel::component::{Component, Context, Views};
use crate::kernel::ids::{NodeId, ViewNo};
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use crate::placement::seeker::HolderContact;

/// How long all controllers are told after the view or the holder of the placement duty changed.
const UNSETTLED: Span = Span::ms(2000);
/// With up to this many routers all controllers are told, so that a new holder knows the use of names at once.
const ROUTERS_TELLING_ALL: usize = 32;

/// Whether the routers are few enough to tell all controllers of themselves.
pub fn tells_all(views: &Views) -> bool {
    let routers = views.members.iter().filter(|row| row.who.role == Role::Router);
    routers.count() <= ROUTERS_TELLING_ALL
}

/// Sends a router's state to the head, which rolls out changes, and to the holder of the placement duty; in a
/// small fleet to all controllers.
#[derive(Default)]
pub struct Teller {
    contact: HolderContact,
    holder: Option<NodeId>,
    view: ViewNo,
    changed: Time,
}

impl Teller {
    fn note_changes(&mut self, ctx: &Context) {
        let (view, holder) =
            (ctx.views.view.as_ref().map_or(ViewNo(0), |v| v.no), self.contact.holder(ctx.now));
        if (view, holder) != (self.view, self.holder) {
            (self.view, self.holder, self.changed) = (view, holder, ctx.now);
        }
    }

    fn receivers(&self, ctx: &Context) -> Vec<NodeId> {
        let head = ctx.views.view.as_ref().and_then(View::head);
        let is_settled = ctx.now.since(self.changed) >= UNSETTLED;
        match (head, self.holder) {
            (Some(head), Some(holder)) if is_settled && !tells_all(ctx.views) => {
                let mut both = vec![head, holder];
                both.dedup();
                both
            }
            _ => ctx.views.controllers().map(|r| r.who.node).collect(),
        }
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
                for to in self.receivers(ctx) {
                    ctx.send(to, Msg::Tell(tell.clone()));
                }
            }
            _ => {}
        }
    }
}

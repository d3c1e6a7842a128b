use crate::kernel::component::{Component, Context};
use crate::msg::*;

#[derive(Default)]
pub struct Teller;

impl Component for Teller {
    fn name(&self) -> &'static str {
        "teller"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        if let Event::Journal(JournalEvent::Members(rows)) = ev {
            let known = rows.iter().filter(|r| r.who.role == Role::Router);
            ctx.out.push(Effect::Routers(known.count() as u64));
        }
        let Event::RouterState(tell) = ev else { return };
        for name in &tell.leaving {
            ctx.publish(JournalEvent::RunnerMarked(name.clone()));
        }
        let all: Vec<_> = ctx.views.controllers().map(|r| r.who.node).collect();
        for to in all {
            ctx.send(to, Msg::Tell(tell.clone()));
        }
    }
}

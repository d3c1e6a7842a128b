//! The events that the rollout component handles, and its status.

use super::Rollout;
use crate::fleet::state::*;
use crate::kernel::component::{Component, Context};
use crate::kernel::time::Time;
use crate::msg::*;

impl Component for Rollout {
    fn name(&self) -> &'static str {
        "rollout"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Message { from, msg: Msg::RouterReport(tell), .. } => {
                self.router_reports.insert(*from, (ctx.now, tell.clone()));
            }
            Event::Journal(JournalEvent::Submitted(change)) => {
                if let Change::Propose { id, .. } = &**change {
                    self.proposed_at = Some((*id, ctx.now));
                }
            }
            Event::Journal(JournalEvent::Committed { at, change }) => {
                if let Change::Settle { verdict: Verdict::Commit, .. } = &**change {
                    self.spreading = Some((*at, ctx.now));
                }
                self.tick(ctx);
            }
            Event::DutyTick => {
                self.expire_reports(ctx.now);
                self.tick(ctx);
            }
            _ => {}
        }
    }

    fn status(&self, _now: Time) -> Vec<(&'static str, String)> {
        let spread = self.last_spread.map_or("none".into(), |(v, ms)| format!("{v} {ms}ms"));
        vec![("routers_heard", self.router_reports.len().to_string()), ("last_spread", spread)]
    }
}

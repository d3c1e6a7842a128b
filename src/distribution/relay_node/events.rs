//! The events that the distribution component handles, and its status.

use super::{Distribution, Topic, scope_name};
use crate::fleet::state::Scope;
use crate::kernel::component::{Component, Context};
use crate::kernel::time::Time;
use crate::msg::*;

impl Component for Distribution {
    fn name(&self) -> &'static str {
        "distribution"
    }

    fn on(&mut self, ev: &Event, ctx: &mut Context) {
        match ev {
            Event::Tick => {
                self.tick(ctx);
                self.request_lease(ctx);
            }
            Event::Message { from, msg, .. } => match msg {
                Msg::UpdateRequest { nonce, direct: false, have } => {
                    self.serve_request(*from, *nonce, have, ctx)
                }
                Msg::UpdateReply { nonce, items } => {
                    let rows = self.reader.handle_reply(*nonce, items);
                    self.publish(rows, ctx);
                }
                Msg::UpdatePush { items } => {
                    let rows = self.reader.handle_push(items);
                    self.publish(rows, ctx);
                }
                Msg::ServingLeaseGrant(grant) => self.on_lease_grant(grant, ctx),
                Msg::RequestUpdates => self.request_all_now(ctx),
                Msg::UpdateRefused { view: Some(v), .. } if ctx.views.older(v) => {
                    ctx.publish(JournalEvent::ViewHeard(v.clone()));
                    self.request_all_now(ctx);
                }
                _ => {}
            },
            _ => {}
        }
    }

    fn status(&self, now: Time) -> Vec<(&'static str, String)> {
        let row = |(s, t): (&Scope, &Topic)| {
            let age = t.proven.map_or("never".into(), |p| now.since(p).to_string());
            format!("{}={}@{age}", scope_name(s), t.history.at)
        };
        let rows: Vec<String> = self.reader.topics.iter().map(row).collect();
        let left = self.lease.left(now).to_string();
        vec![
            ("topics", rows.join(" ")),
            ("serving_lease_left", left),
            ("home_of", self.relayed.len().to_string()),
        ]
    }
}

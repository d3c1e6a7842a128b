//! Requests that wait for a runner: taking them in, planning for them again, and handing the plans over.

use super::core::{BARE_WAIT, Gate, STALE_WAIT};
use super::inbox::{Waiter, Wake};
use super::order::{Order, Plan, Refusal, Why};
use super::wait::retry_s;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

impl Gate {
    /// Takes back the slot that [`Gate::take`] counted, without a word on how the runner did.
    pub(super) fn give_back(&mut self, runner: &Name, model: &str) {
        let key = (runner.clone(), Name(model.to_string()));
        if let Some(n) = self.active.get_mut(&key) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.active.remove(&key);
            }
        }
        let h = self.health.entry(runner.clone()).or_default();
        h.mine = h.mine.saturating_sub(1);
    }

    /// Hands a plan to a waiter that was taken out; the slot of a plan that nobody takes is free again.
    fn deliver(&mut self, waiter: Waiter, plan: Plan) {
        if let Err(Plan::Send(runner)) = (waiter.wake)(plan) {
            self.count("plan_untaken");
            self.give_back(&runner.instance, &waiter.order.model);
        }
    }

    /// Lets a request wait for a runner; `wake` is told the plan once there is one.
    pub fn wait(&mut self, now: Time, order: Order, avoid: Vec<Name>, wake: Wake) {
        let waiter = Waiter { order, avoid, wake, since: now };
        let most = self.slice.as_ref().map_or(256, |s| s.service.inbox) as usize;
        if self.inbox.len() >= most {
            let ahead = self.inbox.ahead(&waiter.order);
            let wait = self.expect_slot(now, &waiter.order, ahead).unwrap_or(Span::ms(2000));
            let Some(key) = self.inbox.last_lower(waiter.order.urgency()) else {
                self.count("refused_inbox_full");
                return self.deliver(waiter, Plan::Refuse(Refusal::new(Why::InboxFull, retry_s(wait))));
            };
            if let Some(w) = self.inbox.take(&key) {
                self.count("refused_crowded");
                self.deliver(w, Plan::Refuse(Refusal::new(Why::Crowded, retry_s(wait))));
            }
        }
        self.inbox.add(waiter);
    }

    /// Plans again for all that wait, the most urgent first.
    pub fn wake(&mut self, now: Time) {
        let mut busy: BTreeMap<(String, String), (u64, &'static str)> = BTreeMap::new();
        for key in self.inbox.keys() {
            let Some(w) = self.inbox.get(&key) else { continue };
            let (order, avoid, since) = (w.order.clone(), w.avoid.clone(), w.since);
            let kind = (order.model.to_string(), order.adapter.to_string());
            let plan = match busy.get_mut(&kind) {
                Some((ahead, why)) if now < order.due => {
                    *ahead += 1;
                    let (ahead, why) = (*ahead - 1, *why);
                    self.settle(now, &order, Plan::Wait(why), ahead)
                }
                _ => {
                    let plan = self.plan(now, &order, &avoid);
                    if let Plan::Wait(why @ ("busy" | "no-holder" | "behind-others")) = plan {
                        busy.insert(kind, (1, why));
                    }
                    self.settle(now, &order, plan, 0)
                }
            };
            let plan = match plan {
                Plan::Wait("not-fresh") if now.since(since) > STALE_WAIT => {
                    Plan::Refuse(Refusal::new(Why::Stale, 1))
                }
                Plan::Wait("no-runner") if now.since(since) > BARE_WAIT => {
                    Plan::Refuse(Refusal::new(Why::NoRunner, 2))
                }
                Plan::Wait(_) if self.stopping => Plan::Refuse(Refusal::new(Why::Stopping, 1)),
                Plan::Wait(_) => continue,
                plan => plan,
            };
            if let Some(w) = self.inbox.take(&key) {
                self.deliver(w, plan);
            }
        }
    }
}

use super::duty::{Placement, REPORT};
use super::flights::{Offer, is_adapter};
use crate::daemon::assemble::Policy;
use crate::fleet::slice::DutySlice;
use crate::fleet::state::Change;
use crate::kernel::ids::ChangeId;
use crate::kernel::ids::Name;
use crate::kernel::part::Kit;
use crate::kernel::time::Time;
use crate::msg::*;

impl Placement {
    pub fn preempt(&mut self, s: &DutySlice, offers: &[Offer], want: &Name, hot: &[Name], kit: &mut Kit) {
        if self.policy != Policy::Preempt || is_adapter(&s.config, want) {
            return;
        }
        let busy = |o: &&Offer| o.report.holds.iter().any(|n| !hot.contains(n) && !is_adapter(&s.config, n));
        let Some(o) = offers.iter().filter(busy).min_by_key(|o| o.report.running) else { return };
        let names = o.report.holds.iter().filter(|n| !hot.contains(n) && !is_adapter(&s.config, n));
        let least = names.min_by_key(|n| o.report.runs_of(n)).cloned();
        if let Some(name) = least {
            let runner = o.runner.instance.clone();
            self.order(&runner, &name, false, kit);
        }
    }

    pub fn tell_head(&mut self, change: Change, kit: &mut Kit) {
        let Some(head) = kit.views.view.as_ref().and_then(|v| v.head()) else { return };
        let id = ChangeId(kit.rand.next() | 1);
        kit.send(head, Msg::Op { id, op: Op::Internal(change) });
    }

    pub fn offers(&self, now: Time) -> Vec<Offer> {
        let Some(s) = &self.slice else { return vec![] };
        let rows = s.runners.iter().filter_map(|r| {
            let (at, report) = self.reports.get(&r.instance)?;
            let fresh = now.since(*at) < REPORT && report.instance == r.instance;
            fresh.then(|| Offer { runner: r.clone(), report: self.known(s, report) })
        });
        rows.collect()
    }
}

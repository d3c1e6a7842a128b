//! What the holder of the placement duty has yet to do, for its log.
#![deny(missing_docs)]

use super::component::Placement;
use crate::fleet::slice::DutySlice;
use crate::kernel::component::Context;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeSet;

/// How often a holder logs what it has yet to do.
const LOG_INTERVAL: Span = Span::ms(1000);

/// What requests wait for, and what is done about it.
#[derive(Default)]
struct Backlog {
    /// Names that requests wait for.
    wanted: usize,
    /// Of them, those that no runner holds.
    missing: usize,
    /// Of the missing, those that are adapters.
    missing_adapters: usize,
    /// Of the missing, those for which nothing is decided.
    undecided: usize,
    /// How long the first of the undecided has been waited for.
    oldest: Span,
}

impl Placement {
    /// Logs once a second what this holder has yet to do.
    pub(super) fn log_backlog(&mut self, ctx: &mut Context) {
        let Some(slice) = self.slice.clone() else { return };
        if ctx.now.since(self.search.backlog_logged_at) < LOG_INTERVAL {
            return;
        }
        self.search.backlog_logged_at = ctx.now;
        let needs = self.backlog(&slice, ctx.now);
        let unloading = self.jobs.values().filter(|job| job.awaits_unload()).count();
        let open = self.reports.keys().filter(|runner| self.pending.is_blocked(runner)).count();
        let store = self.pending.store_budget.left(&slice.config.store);
        let text = format!(
            "wanted={} missing={} missing_adapters={} undecided={} oldest_ms={} jobs={} unloading={unloading} \
             in_flight={} blocked_runners={open} store_left={store:.1} rounds={} weighed={} may_order={}",
            needs.wanted,
            needs.missing,
            needs.missing_adapters,
            needs.undecided,
            needs.oldest.as_ms(),
            self.jobs.len(),
            self.pending.table.len(),
            self.search.rounds,
            self.search.evaluated.get(),
            self.may_order(ctx.now),
        );
        ctx.log_event("placement-needs", text);
    }

    fn backlog(&self, slice: &DutySlice, now: Time) -> Backlog {
        let held: BTreeSet<&Name> = self.reports.values().flat_map(|row| &row.1.holds).collect();
        let coming = self.names_being_loaded(slice);
        let mut needs = Backlog { wanted: self.wanted_names.len(), ..Backlog::default() };
        for (name, want) in self.wanted_names.iter().filter(|row| !held.contains(row.0)) {
            needs.missing += 1;
            needs.missing_adapters += usize::from(slice.config.adapter(name).is_some());
            if !coming.contains(name) {
                needs.undecided += 1;
                needs.oldest = needs.oldest.max(now.since(want.wanted_since));
            }
        }
        needs
    }
}

//! The names that requests wait for, as routers tell them.
#![deny(missing_docs)]

use super::component::Placement;
use crate::fleet::config::Class;
use crate::fleet::holdings::UnmetDemand;
use crate::kernel::ids::{Name, NodeId};
use crate::kernel::time::{Span, Time};
use std::cell::Cell;
use std::collections::BTreeMap;

/// How long what a router told of its waiting requests counts.
const TOLD_COUNTS: Span = Span::ms(1500);
/// How often older ones are looked for.
const FORGET_EVERY: Span = Span::ms(100);

/// What a request counts as having waited when it is told of, in ms.
const FIRST_MS: u64 = 100;

/// A name that requests wait for.
pub struct WantedName {
    /// Its service.
    pub service: Name,
    /// The most urgent class that waits.
    pub class: Class,
    /// Since when.
    pub since: Time,
    /// Until when it is not weighed again, as no runner could take it.
    pub(super) rests_until: Cell<Time>,
    rows: BTreeMap<NodeId, (Time, u64)>,
}

impl WantedName {
    /// How many requests wait.
    pub fn count(&self) -> u64 {
        self.rows.values().map(|r| r.1).sum()
    }

    /// The waiting of all requests for it so far, in ms, weighed by their class. The name with the most is met first:
    /// what many ask for goes ahead of what one asks for, and no name is passed over for ever.
    pub fn pressure(&self, now: Time) -> u64 {
        let weight = match self.class {
            Class::Counter => 64,
            Class::Chat => 8,
            Class::Normal => 2,
            Class::Bulk => 1,
        };
        (now.since(self.since).as_ms() + FIRST_MS) * self.count() * weight
    }
}

impl Placement {
    /// A router tells what its requests wait for.
    pub fn wanted(&mut self, from: NodeId, want: &UnmetDemand, now: Time) {
        let row = self.wants.entry(want.name.clone()).or_insert_with(|| {
            self.work.stirred = true;
            WantedName {
                service: want.service.clone(),
                class: want.class,
                since: now,
                rests_until: Cell::new(Time(0)),
                rows: BTreeMap::new(),
            }
        });
        row.class = row.class.min(want.class);
        row.rows.insert(from, (now, want.count));
    }

    /// Forgets what no router has told of lately.
    pub(super) fn forget_old_wants(&mut self, now: Time) {
        if now.since(self.work.wants_forgotten) < FORGET_EVERY {
            return;
        }
        self.work.wants_forgotten = now;
        for wanted in self.wants.values_mut() {
            wanted.rows.retain(|_, row| now.since(row.0) < TOLD_COUNTS);
        }
        self.wants.retain(|_, wanted| !wanted.rows.is_empty());
    }

    /// The wanted names in the order in which they are met.
    pub fn most_pressing(&self, now: Time) -> Vec<&Name> {
        let mut names: Vec<(u64, &Name)> =
            self.wants.iter().map(|(name, wanted)| (wanted.pressure(now), name)).collect();
        names.sort_by_key(|(pressure, name)| (std::cmp::Reverse(*pressure), *name));
        names.into_iter().map(|(_, name)| name).collect()
    }

    /// How many requests wait for a name.
    pub fn waits(&self, name: &Name) -> u64 {
        self.wants.get(name).map_or(0, |w| w.count())
    }
}

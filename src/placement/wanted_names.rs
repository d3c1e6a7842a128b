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
const WANT_LIFETIME: Span = Span::ms(1500);
/// How often older ones are looked for.
const EXPIRY_INTERVAL: Span = Span::ms(100);

/// What a request counts as having waited when it is told of, in ms.
const INITIAL_WAIT_MS: u64 = 100;

/// A name that requests wait for.
pub struct WantedName {
    /// Its service.
    pub service: Name,
    /// The most urgent class that waits.
    pub class: Class,
    /// Since when.
    pub wanted_since: Time,
    /// Until when it is not weighed again, as no runner could take it.
    pub(super) retry_after: Cell<Time>,
    reports: BTreeMap<NodeId, (Time, u64)>,
}

impl WantedName {
    /// How many requests wait.
    pub fn waiting_requests(&self) -> u64 {
        self.reports.values().map(|r| r.1).sum()
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
        (now.since(self.wanted_since).as_ms() + INITIAL_WAIT_MS) * self.waiting_requests() * weight
    }
}

impl Placement {
    /// A router tells what its requests wait for.
    pub fn record_want(&mut self, from: NodeId, want: &UnmetDemand, now: Time) {
        let row = self.wanted_names.entry(want.name.clone()).or_insert_with(|| {
            self.search.has_news = true;
            WantedName {
                service: want.service.clone(),
                class: want.class,
                wanted_since: now,
                retry_after: Cell::new(Time(0)),
                reports: BTreeMap::new(),
            }
        });
        row.class = row.class.min(want.class);
        row.reports.insert(from, (now, want.count));
    }

    /// Forgets what no router has told of lately.
    pub(super) fn expire_wants(&mut self, now: Time) {
        if now.since(self.search.wants_expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.search.wants_expired_at = now;
        for wanted in self.wanted_names.values_mut() {
            wanted.reports.retain(|_, row| now.since(row.0) < WANT_LIFETIME);
        }
        self.wanted_names.retain(|_, wanted| !wanted.reports.is_empty());
    }

    /// The wanted names in the order in which they are met.
    pub fn wanted_by_pressure(&self, now: Time) -> Vec<&Name> {
        let mut names: Vec<(u64, &Name)> =
            self.wanted_names.iter().map(|(name, wanted)| (wanted.pressure(now), name)).collect();
        names.sort_by_key(|(pressure, name)| (std::cmp::Reverse(*pressure), *name));
        names.into_iter().map(|(_, name)| name).collect()
    }

    /// How many requests wait for a name.
    pub fn waiting_requests(&self, name: &Name) -> u64 {
        self.wanted_names.get(name).map_or(0, |w| w.waiting_requests())
    }
}

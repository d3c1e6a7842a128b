use super::past::{Body, Past};
use crate::fleet::state::{FleetState, Scope};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::NewsItem;
use std::collections::BTreeMap;
use std::sync::Arc;

pub const LATELY: Span = Span::ms(1000);

#[derive(Default)]
pub struct Askers {
    rows: BTreeMap<NodeId, (Time, BTreeMap<Scope, Version>)>,
}

impl Askers {
    pub fn note(&mut self, from: NodeId, scope: &Scope, at: Version, now: Time) {
        let row = self.rows.entry(from).or_default();
        row.0 = now;
        row.1.insert(scope.clone(), at);
    }

    pub fn behind(&mut self, scope: &Scope, past: &Past, now: Time) -> Vec<(NodeId, NewsItem)> {
        self.rows.retain(|_, r| now.since(r.0) < LATELY);
        let mut out = Vec::new();
        for (node, (_, have)) in &mut self.rows {
            let Some(old) = have.get_mut(scope).filter(|v| **v < past.at) else { continue };
            let body = past.body(*old);
            *old = past.at;
            out.push((*node, NewsItem { scope: scope.clone(), at: past.at, age: Span(0), body }));
        }
        out
    }
}

#[derive(Default)]
pub struct Source {
    pasts: BTreeMap<Scope, Past>,
    askers: Askers,
}

impl Source {
    fn fresh(&mut self, scope: &Scope, state: &FleetState) -> &Past {
        let at = state.scope_at(scope);
        let past = self.pasts.entry(scope.clone()).or_default();
        if past.slice.is_none() || past.at != at {
            past.raise(at, Arc::new(state.slice(scope)));
        }
        past
    }

    pub fn answer(
        &mut self,
        from: NodeId,
        have: &[(Scope, Version)],
        state: &FleetState,
        now: Time,
    ) -> Vec<NewsItem> {
        let mut items = Vec::new();
        for (scope, old) in have {
            let past = self.fresh(scope, state);
            let at = past.at;
            let body = if at < *old { Body::Same } else { past.body(*old) };
            items.push(NewsItem { scope: scope.clone(), at, age: Span(0), body });
            self.askers.note(from, scope, at.max(*old), now);
        }
        items
    }

    pub fn pushes(&mut self, state: &FleetState, now: Time) -> BTreeMap<NodeId, Vec<NewsItem>> {
        let mut out: BTreeMap<NodeId, Vec<NewsItem>> = BTreeMap::new();
        let scopes: Vec<Scope> = self.pasts.keys().cloned().collect();
        for scope in scopes {
            let same = self.pasts.get(&scope).is_none_or(|p| p.at == state.scope_at(&scope));
            if same || scope == Scope::Duty {
                continue;
            }
            self.fresh(&scope, state);
            let Some(past) = self.pasts.get(&scope) else { continue };
            for (to, item) in self.askers.behind(&scope, past, now) {
                out.entry(to).or_default().push(item);
            }
        }
        out
    }

    pub fn clear(&mut self) {
        *self = Source::default();
    }
}

//! Who recently asked for which topics, and updates for them when a topic changes.

use super::history::{ChangeHistory, UpdateBody};
use crate::fleet::state::{FleetState, Scope};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::TopicUpdate;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long after its last request a node is sent updates.
pub const SUBSCRIPTION_TTL: Span = Span::ms(1000);

/// The nodes that recently asked, with the versions that they have.
#[derive(Clone, Default)]
pub struct Subscribers {
    rows: BTreeMap<NodeId, (Time, BTreeMap<Scope, Version>)>,
}

impl Subscribers {
    /// Notes that a node asked for a topic and has this version, or is being sent it.
    pub fn record(&mut self, from: NodeId, scope: &Scope, at: Version, now: Time) {
        let row = self.rows.entry(from).or_default();
        row.0 = now;
        row.1.insert(scope.clone(), at);
    }

    /// Updates for the nodes whose version is older, which are then taken to have the new one.
    pub fn take_updates(
        &mut self,
        scope: &Scope,
        history: &ChangeHistory,
        now: Time,
    ) -> Vec<(NodeId, TopicUpdate)> {
        self.rows.retain(|_, r| now.since(r.0) < SUBSCRIPTION_TTL);
        let mut out = Vec::new();
        for (node, (_, have)) in &mut self.rows {
            let Some(old) = have.get_mut(scope).filter(|v| **v < history.at) else { continue };
            let body = history.update_since(*old);
            *old = history.at;
            out.push((*node, TopicUpdate { scope: scope.clone(), at: history.at, age: Span(0), body }));
        }
        out
    }
}

/// The tail's side: topics cut from the replicated state.
#[derive(Clone, Default)]
pub struct Publisher {
    histories: BTreeMap<Scope, ChangeHistory>,
    subscribers: Subscribers,
}

impl Publisher {
    /// The history of a topic, with its newest content.
    fn current_history(&mut self, scope: &Scope, state: &FleetState) -> &ChangeHistory {
        let at = state.scope_at(scope);
        let history = self.histories.entry(scope.clone()).or_default();
        if history.slice.is_none() || history.at != at {
            history.advance(at, Arc::new(state.slice(scope)));
        }
        history
    }

    /// Answers a request for topics.
    pub fn answer(
        &mut self,
        from: NodeId,
        have: &[(Scope, Version)],
        state: &FleetState,
        now: Time,
    ) -> Vec<TopicUpdate> {
        let mut items = Vec::new();
        for (scope, old) in have {
            let history = self.current_history(scope, state);
            let at = history.at;
            let body = if at < *old { UpdateBody::Same } else { history.update_since(*old) };
            items.push(TopicUpdate { scope: scope.clone(), at, age: Span(0), body });
            self.subscribers.record(from, scope, at.max(*old), now);
        }
        items
    }

    /// Updates for subscribers of topics that changed. The slice of the placement duty is not pushed.
    pub fn pushes(&mut self, state: &FleetState, now: Time) -> BTreeMap<NodeId, Vec<TopicUpdate>> {
        let mut out: BTreeMap<NodeId, Vec<TopicUpdate>> = BTreeMap::new();
        let scopes: Vec<Scope> = self.histories.keys().cloned().collect();
        for scope in scopes {
            let same = self.histories.get(&scope).is_none_or(|p| p.at == state.scope_at(&scope));
            if same || scope == Scope::Duty {
                continue;
            }
            self.current_history(&scope, state);
            let Some(history) = self.histories.get(&scope) else { continue };
            for (to, item) in self.subscribers.take_updates(&scope, history, now) {
                out.entry(to).or_default().push(item);
            }
        }
        out
    }

    /// Forgets all topics and subscribers.
    pub fn clear(&mut self) {
        *self = Publisher::default();
    }
}

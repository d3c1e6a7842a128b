//! The topics that a router serves by, in an order that the tail and all routers share.

use super::slice::RouteRow;
use super::state::Scope;
use std::collections::BTreeSet;

/// The topics that decide how a router handles requests: the routes, then the services they lead to, by
/// name.
pub fn serving_scopes(routes: &[RouteRow]) -> Vec<Scope> {
    let services: BTreeSet<Scope> = routes.iter().flat_map(RouteRow::scopes).collect();
    std::iter::once(Scope::Routes).chain(services).collect()
}

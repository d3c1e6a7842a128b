//! The routes as routers look them up.

use super::slice::{RouteRow, RoutesSlice};
use super::state::Scope;
use super::tenants::Tenants;
use crate::kernel::ids::Name;
use crate::kernel::rand::mix;
use std::collections::HashMap;

/// The routes by host and prefix, and the tenants of the same configuration.
#[derive(Default, Debug)]
pub struct RouteTable {
    /// The routes, in the order of [`super::slice::route_rows`].
    pub rows: Vec<RouteRow>,
    /// Who may send requests on them.
    pub tenants: Tenants,
    index: HashMap<String, HashMap<String, usize>>,
}

impl From<Vec<RouteRow>> for RouteTable {
    fn from(rows: Vec<RouteRow>) -> RouteTable {
        let mut index: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (n, r) in rows.iter().enumerate() {
            index.entry(r.route.host.clone()).or_default().entry(r.route.prefix.clone()).or_insert(n);
        }
        RouteTable { rows, index, tenants: Tenants::default() }
    }
}

impl From<RoutesSlice> for RouteTable {
    fn from(routes: RoutesSlice) -> RouteTable {
        RouteTable { tenants: routes.tenants.into(), ..RouteTable::from(routes.rows) }
    }
}

impl RouteTable {
    /// The route with the longest prefix of `path` at `host`; at equal length one that names the host goes
    /// first.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRow> {
        self.position(host, path).map(|n| &self.rows[n])
    }

    /// The position among `rows` of the route that [`RouteTable::find`] finds.
    pub fn position(&self, host: &str, path: &str) -> Option<usize> {
        let own = self.index.get(host);
        let any = if host.is_empty() { None } else { self.index.get("") };
        if own.is_none() && any.is_none() {
            return None;
        }
        let mut ends: Vec<usize> = vec![path.len()];
        for (n, b) in path.bytes().enumerate().rev() {
            if b == b'/' {
                ends.extend([n + 1, n]);
            } else if b == b'?' {
                ends.push(n);
            }
        }
        ends.iter().find_map(|end| {
            let part = &path[..*end];
            own.and_then(|m| m.get(part)).or_else(|| any.and_then(|m| m.get(part))).copied()
        })
    }
}

impl RouteRow {
    /// The service that a draw selects, by the weights of the split.
    pub fn pick(&self, draw: u64) -> &Name {
        let all: u64 = self.route.split.iter().map(|w| w.weight).sum();
        if all == 0 {
            return &self.service;
        }
        let mut left = mix(draw) % all;
        for w in &self.route.split {
            if left < w.weight {
                return &w.service;
            }
            left -= w.weight;
        }
        &self.service
    }

    /// Whether the route can select this service.
    pub fn leads_to(&self, service: &Name) -> bool {
        if self.route.split.is_empty() {
            return self.service == *service;
        }
        self.route.split.iter().any(|w| w.weight > 0 && w.service == *service)
    }

    /// The topics of the services that the route names.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        let more = self.route.split.iter().map(|w| &w.service);
        std::iter::once(&self.service).chain(more).map(|n| Scope::Service(n.clone()))
    }
}

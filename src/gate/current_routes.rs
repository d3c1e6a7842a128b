//! The routes of a router, as far as they are known to be current.
#![deny(missing_docs)]

use super::table::BalancerTable;
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::RouteRow;
use crate::kernel::ids::Version;
use crate::kernel::time::Time;
use std::sync::Arc;

impl BalancerTable {
    /// Whether the routes, or that there are none yet, are known to be current.
    pub fn are_routes_current(&self, now: Time) -> bool {
        let proven = self.routes.read().unwrap().1;
        now.since(proven) < self.freshness_limit || now < *self.routes_leased_until.read().unwrap()
    }

    /// The routes with their version, if they are of a configuration and known to be current. A fleet without a
    /// configuration proves its empty routes as well; they say nothing of a request.
    pub fn fresh_routes(&self, now: Time) -> Option<(Version, Arc<RouteTable>)> {
        if !self.are_routes_current(now) {
            return None;
        }
        let row = self.routes.read().unwrap();
        (row.0 > Version(0)).then(|| (row.0, row.2.clone()))
    }

    /// The route of a request; nothing if the routes are not known to be current.
    pub fn find_route(&self, now: Time, host: &str, path: &str) -> Option<(Version, Option<RouteRow>)> {
        let (at, rows) = self.fresh_routes(now)?;
        Some((at, rows.find(host, path).cloned()))
    }

    /// Version of the newest routes.
    pub fn routes_version(&self) -> Version {
        self.routes.read().unwrap().0
    }
}

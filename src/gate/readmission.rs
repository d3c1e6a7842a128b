//! Admission of a request by routes that may change while it is received or waits.
//!
//! A request is admitted when its head has come. What newer routes make of it before it is sent is decided in the same
//! way, so that a caller loses no request which each configuration allows: it then goes to the service that the newest
//! routes name, on their terms.
#![deny(missing_docs)]

use super::admission::{Admission, admit};
use super::order::{RefusalReason, RequestSpec};
use super::table::BalancerTable;
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::RouteRow;
use crate::fleet::tenants::KeyDigest;
use crate::kernel::ids::{Name, Version};
use crate::kernel::time::Time;
use std::sync::Arc;

/// The route of a request, and as what it was admitted.
pub struct AdmittedRoute {
    /// The version of the routes.
    pub version: Version,
    table: Arc<RouteTable>,
    position: usize,
    /// The tenant and the rank of the request.
    pub admission: Admission,
}

impl AdmittedRoute {
    /// Finds the route of a request and admits it by `table`, the routes of this version.
    pub fn find(
        (version, table): &(Version, Arc<RouteTable>),
        (host, path): (&str, &str),
        key: Option<KeyDigest>,
    ) -> Result<AdmittedRoute, RouteRefusal> {
        let Some(position) = table.position(host, path) else { return Err(RouteRefusal::NoRoute) };
        let row = &table.rows[position];
        match admit(table, row, key) {
            Ok(admission) => {
                Ok(AdmittedRoute { version: *version, table: table.clone(), position, admission })
            }
            Err(_) => Err(RouteRefusal::UnknownKey(row.service.clone())),
        }
    }

    /// The route.
    pub fn row(&self) -> &RouteRow {
        &self.table.rows[self.position]
    }
}

/// Why routes do not allow a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RouteRefusal {
    /// No route leads anywhere.
    NoRoute,
    /// The route to this service needs a key, and the request has none that belongs to a tenant.
    UnknownKey(Name),
}

impl RouteRefusal {
    /// Why a request is refused that earlier routes allowed.
    pub fn of_admitted_request(&self) -> RefusalReason {
        match self {
            RouteRefusal::NoRoute => RefusalReason::RouteChanged,
            RouteRefusal::UnknownKey(_) => RefusalReason::UnknownKey,
        }
    }
}

impl BalancerTable {
    /// Admits a request by the newest routes that `earlier` ones had admitted.
    pub fn readmit(&self, now: Time, earlier: &RequestSpec) -> Result<AdmittedRoute, RefusalReason> {
        let Some(routes) = self.fresh_routes(now) else { return Err(RefusalReason::StaleConfiguration) };
        AdmittedRoute::find(&routes, (&earlier.host, &earlier.path), earlier.key)
            .map_err(|refusal| refusal.of_admitted_request())
    }
}

/// The tenants whose quotas have counted a request. Each counts it once, however often it is admitted anew.
#[derive(Default)]
pub struct CountedTenants(Vec<Name>);

impl CountedTenants {
    /// Whether the tenant of the request has a quota that has not counted it yet; it has from now on.
    pub fn add(&mut self, spec: &RequestSpec) -> bool {
        let Some(credential) = &spec.credential else { return false };
        let tenant = &credential.tenant;
        if tenant.quota.is_none() || self.0.contains(&tenant.name) {
            return false;
        }
        self.0.push(tenant.name.clone());
        true
    }
}

//! Who may send a request, when it arrives and again right before each send.
#![deny(missing_docs)]

use super::core::Balancer;
use super::order::{RefusalReason, RequestSpec};
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::RouteRow;
use crate::fleet::tenants::{Credential, KeyDigest, TenantRank};
use crate::kernel::ids::Version;

/// A request that may be forwarded.
pub struct Admission {
    /// Its key and tenant, if the key is known.
    pub credential: Option<Credential>,
    /// How urgent it is among those of other tenants.
    pub rank: TenantRank,
}

/// The request needs a key and carries none, or one that belongs to no tenant.
#[derive(Debug)]
pub struct UnknownKey;

/// Decides by the routes and tenants of one configuration. A route that needs no key still tells whose a known key is.
pub fn admit(table: &RouteTable, row: &RouteRow, key: Option<KeyDigest>) -> Result<Admission, UnknownKey> {
    if table.tenants.is_empty() {
        return Ok(Admission { credential: None, rank: TenantRank::FIRST });
    }
    let credential = key.and_then(|key| table.tenants.credential(key));
    if credential.is_none() && !row.route.open {
        return Err(UnknownKey);
    }
    let rank = credential.as_ref().map_or(TenantRank::UNRANKED, |credential| credential.tenant.rank());
    Ok(Admission { credential, rank })
}

impl Balancer {
    /// Whether the newest routes and tenants allow a request as earlier ones admitted it. `RouteChanged` says that they
    /// have to be asked anew ([`super::readmission`]). A request may also have been admitted by newer ones than this
    /// balancer was told of yet.
    pub fn admits(&self, spec: &RequestSpec) -> Result<(), RefusalReason> {
        if spec.routes_version >= self.routes.0 || spec.path.is_empty() {
            return Ok(());
        }
        let table = &self.routes.1;
        let row = table.find(&spec.host, &spec.path);
        let same = |r: &&RouteRow| {
            r.leads_to(&self.service)
                && r.route.resumable == spec.is_resumable
                && r.route.kind == spec.route_kind
        };
        let Some(row) = row.filter(same) else { return Err(RefusalReason::RouteChanged) };
        if row.route.open || table.tenants.is_empty() {
            return Ok(());
        }
        let Some(credential) = &spec.credential else {
            let is_key_known = spec.key.is_some_and(|key| table.tenants.owner(&key).is_some());
            return Err(if is_key_known { RefusalReason::RouteChanged } else { RefusalReason::UnknownKey });
        };
        match table.tenants.owner(&credential.key) {
            Some(owner) if owner.name == credential.tenant.name => Ok(()),
            Some(_) => Err(RefusalReason::KeyReassigned),
            None => Err(RefusalReason::UnknownKey),
        }
    }

    /// Whether the routes that admitted a request and what is known of the service belong to one configuration. Topics of
    /// one change arrive one by one: a service may seem to lack what the change moves to it, or what it has lost together
    /// with its routes. A route never leads to a service that its own configuration lacks.
    pub fn knows_one_configuration(&self, spec: &RequestSpec) -> bool {
        if spec.path.is_empty() {
            return true;
        }
        let routes_version = self.routes.0.max(spec.routes_version);
        let config_version = self.slice.as_ref().map_or(Version(0), |slice| slice.config_version);
        !self.is_withdrawn && self.slice_version >= routes_version && config_version <= routes_version
    }
}

//! Who may send a request: by the key that it carries, unless its route needs none.
#![deny(missing_docs)]

use super::answer::{OutBody, refused};
use crate::fleet::routes::RouteTable;
use crate::fleet::slice::RouteRow;
use crate::fleet::tenants::{Credential, KeyDigest, TenantRank};
use crate::gate::Refusal;
use crate::gate::order::Why;
use crate::seam::CallerSide;
use hyper::Response;

/// A request that may be forwarded.
pub struct Admission {
    /// Its key and tenant, if the key is known.
    pub credential: Option<Credential>,
    /// How urgent it is among those of other tenants.
    pub rank: TenantRank,
}

/// The request carries no key, or one that belongs to no tenant.
#[derive(Debug)]
pub struct UnknownKey;

impl UnknownKey {
    /// What its client is told; nothing of the key is in it.
    pub fn answer(&self, side: &dyn CallerSide) -> Response<OutBody> {
        refused(side, &Refusal::new(Why::UnknownKey, 0))
    }
}

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

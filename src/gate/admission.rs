//! Whether a request may still run by what is in force now, however long ago it was admitted.
#![deny(missing_docs)]

use super::core::Gate;
use super::order::{Order, Why};
use crate::fleet::slice::RouteRow;

impl Gate {
    /// Whether the newest routes and tenants still allow a request that was admitted by earlier ones. A request may
    /// also have been admitted by newer ones than this gate was told of yet.
    pub fn admits(&self, order: &Order) -> Result<(), Why> {
        if order.routes_at >= self.routes.0 || order.path.is_empty() {
            return Ok(());
        }
        let table = &self.routes.1;
        let row = table.find(&order.host, &order.path);
        let same = |r: &&RouteRow| r.leads_to(&self.name) && r.route.resumable == order.resumable;
        let Some(row) = row.filter(same) else { return Err(Why::NoRoute) };
        if row.route.open || table.tenants.is_empty() {
            return Ok(());
        }
        match &order.credential {
            Some(credential) if credential.is_valid(&table.tenants) => Ok(()),
            _ => Err(Why::UnknownKey),
        }
    }
}

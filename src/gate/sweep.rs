//! Periodic and router-wide operations on the table.

use super::table::BalancerTable;
use crate::fleet::config::ServiceKind;
use crate::kernel::ids::*;
use crate::kernel::time::Time;

impl BalancerTable {
    /// Refuses waiting requests, as the router stops.
    pub fn stop(&self, now: Time) {
        for balancer in self.balancers() {
            let mut balancer = balancer.lock().unwrap();
            balancer.is_stopping = true;
            balancer.route_waiting(now);
        }
    }

    /// Takes a runner that announced its stop out of use.
    pub fn mark_leaving(&self, now: Time, name: &Name) {
        self.leaving_runners.lock().unwrap().insert(name.clone());
        for balancer in self.balancers() {
            let mut balancer = balancer.lock().unwrap();
            if let Some(health) = balancer.health.get_mut(name) {
                health.is_leaving = true;
                balancer.route_waiting(now);
            }
        }
    }

    /// All runners with the service of each.
    pub fn runners(&self) -> Vec<(Name, crate::fleet::runner::Runner)> {
        let mut out = Vec::new();
        for balancer in self.balancers() {
            let balancer = balancer.lock().unwrap();
            if let Some(slice) = &balancer.slice {
                out.extend(slice.runners.iter().map(|r| (balancer.service.clone(), r.clone())));
            }
        }
        out
    }

    /// Runners that are polled for reports.
    pub fn reporting_runners(&self) -> Vec<crate::fleet::runner::Runner> {
        let mut out = Vec::new();
        for balancer in self.balancers() {
            let balancer = balancer.lock().unwrap();
            let Some(slice) = &balancer.slice else { continue };
            if !(self.has_unpolled_plain_runners && slice.service.sort == ServiceKind::Plain) {
                out.extend(slice.runners.iter().cloned());
            }
        }
        out
    }

    /// Applies the number of routers, drops expired quota tokens and routes waiting requests again.
    pub fn tick(&self, now: Time, routers: u64) {
        self.quota.lock().unwrap().sweep(now);
        for balancer in self.balancers() {
            let mut balancer = balancer.lock().unwrap();
            balancer.router_count = routers.max(1);
            if let Some(slice) = balancer.slice.clone() {
                balancer.retry_budget.credit_limit =
                    slice.budget.allowance as f64 / balancer.router_count as f64;
            }
            balancer.route_waiting(now);
        }
    }
}

use super::table::BalancerTable;
use crate::fleet::config::ServiceKind;
use crate::kernel::ids::*;
use crate::kernel::time::Time;

impl BalancerTable {
    pub fn stop(&self, now: Time) {
        for g in self.balancers() {
            let mut g = g.lock().unwrap();
            g.is_stopping = true;
            g.route_waiting(now);
        }
    }

    pub fn mark_leaving(&self, now: Time, name: &Name) {
        self.leaving_runners.lock().unwrap().insert(name.clone());
        for g in self.balancers() {
            let mut g = g.lock().unwrap();
            if let Some(h) = g.health.get_mut(name) {
                h.is_leaving = true;
                g.route_waiting(now);
            }
        }
    }

    pub fn runners(&self) -> Vec<(Name, crate::fleet::runner::Runner)> {
        let mut out = Vec::new();
        for g in self.balancers() {
            let g = g.lock().unwrap();
            if let Some(s) = &g.slice {
                out.extend(s.runners.iter().map(|r| (g.service.clone(), r.clone())));
            }
        }
        out
    }

    pub fn reporting_runners(&self) -> Vec<crate::fleet::runner::Runner> {
        let mut out = Vec::new();
        for g in self.balancers() {
            let g = g.lock().unwrap();
            let Some(s) = &g.slice else { continue };
            if !(self.has_unpolled_plain_runners && s.service.sort == ServiceKind::Plain) {
                out.extend(s.runners.iter().cloned());
            }
        }
        out
    }

    pub fn tick(&self, now: Time, routers: u64) {
        self.quota.lock().unwrap().sweep(now);
        for g in self.balancers() {
            let mut g = g.lock().unwrap();
            g.router_count = routers.max(1);
            if let Some(s) = g.slice.clone() {
                g.retry_budget.credit_limit = s.budget.allowance as f64 / g.router_count as f64;
            }
            g.route_waiting(now);
        }
    }
}

//! Serving leases: topics may be served from until a lease ends, also without a recent proof.

use super::table::BalancerTable;
use crate::fleet::state::Scope;
use crate::kernel::time::Time;

impl BalancerTable {
    /// Extends the leases of these topics to `until`; requests that waited for a proof are routed.
    pub fn extend_leases(&self, now: Time, scopes: &[Scope], until: Time) {
        for scope in scopes {
            match scope {
                Scope::Routes => self.extend_routes_lease(now, until),
                Scope::Service(name) => {
                    let Some(balancer) = self.get(name) else { continue };
                    let mut balancer = balancer.lock().unwrap();
                    let stale = !balancer.is_fresh(now);
                    balancer.leased_until = balancer.leased_until.max(until);
                    if stale {
                        balancer.route_waiting(now);
                    }
                }
                Scope::Candidate | Scope::Duty => {}
            }
        }
    }

    fn extend_routes_lease(&self, now: Time, until: Time) {
        let mut leased = self.routes_leased_until.write().unwrap();
        *leased = (*leased).max(until);
        let until = *leased;
        drop(leased);
        for balancer in self.balancers() {
            let mut balancer = balancer.lock().unwrap();
            let stale = !balancer.is_fresh(now);
            balancer.routes_leased_until = until;
            if stale {
                balancer.route_waiting(now);
            }
        }
    }
}

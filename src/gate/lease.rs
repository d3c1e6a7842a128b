//! Serving leases as the gates see them.

use super::table::Table;
use crate::fleet::state::Scope;
use crate::kernel::time::Time;

impl Table {
    /// These topics may be served by until then; requests that waited for a proof go on.
    pub fn lease(&self, now: Time, scopes: &[Scope], until: Time) {
        for scope in scopes {
            match scope {
                Scope::Routes => self.lease_routes(now, until),
                Scope::Service(name) => {
                    let Some(gate) = self.gate(name) else { continue };
                    let mut gate = gate.lock().unwrap();
                    let stale = !gate.is_fresh(now);
                    gate.leased_until = gate.leased_until.max(until);
                    if stale {
                        gate.wake(now);
                    }
                }
                Scope::Candidate | Scope::Duty => {}
            }
        }
    }

    fn lease_routes(&self, now: Time, until: Time) {
        let mut leased = self.routes_leased_until.write().unwrap();
        *leased = (*leased).max(until);
        let until = *leased;
        drop(leased);
        for gate in self.gates() {
            let mut gate = gate.lock().unwrap();
            let stale = !gate.is_fresh(now);
            gate.routes_leased_until = until;
            if stale {
                gate.wake(now);
            }
        }
    }
}

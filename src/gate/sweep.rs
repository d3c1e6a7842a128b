use super::table::Table;
use crate::fleet::config::ServiceKind;
use crate::kernel::ids::*;
use crate::kernel::time::Time;

impl Table {
    pub fn stop(&self, now: Time) {
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            g.stopping = true;
            g.wake(now);
        }
    }

    pub fn mark(&self, now: Time, name: &Name) {
        self.marks.lock().unwrap().insert(name.clone());
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            if let Some(h) = g.health.get_mut(name) {
                h.leaving = true;
                g.wake(now);
            }
        }
    }

    pub fn runners(&self) -> Vec<(Name, crate::fleet::runner::Runner)> {
        let mut out = Vec::new();
        for g in self.gates() {
            let g = g.lock().unwrap();
            if let Some(s) = &g.slice {
                out.extend(s.runners.iter().map(|r| (g.name.clone(), r.clone())));
            }
        }
        out
    }

    pub fn reporting(&self) -> Vec<crate::fleet::runner::Runner> {
        let mut out = Vec::new();
        for g in self.gates() {
            let g = g.lock().unwrap();
            let Some(s) = &g.slice else { continue };
            if !(self.bare_plain && s.service.sort == ServiceKind::Plain) {
                out.extend(s.runners.iter().cloned());
            }
        }
        out
    }

    pub fn tick(&self, now: Time, routers: u64) {
        self.quota.lock().unwrap().sweep(now);
        for g in self.gates() {
            let mut g = g.lock().unwrap();
            g.routers = routers.max(1);
            if let Some(s) = g.slice.clone() {
                g.tries.share = s.budget.allowance as f64 / g.routers as f64;
            }
            g.wake(now);
        }
    }
}

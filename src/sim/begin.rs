use super::record::Fact;
use super::runners::Run;
use super::world::{Event, World};
use crate::kernel::ids::*;
use crate::kernel::time::Span;

impl World {
    pub fn begin_run(
        &mut self,
        k: usize,
        place: usize,
        life: u64,
        id: u64,
        attempt: u64,
        last: Option<String>,
    ) -> bool {
        let Some(r) = self.requests.rows.get_mut(&id) else { return false };
        let (call, script) = (r.call, r.script.clone());
        let tenant = r.request.spec.credential.as_ref().map(|c| c.tenant.name.clone());
        let model = Name(script.as_ref().map_or(String::new(), |s| s.model.clone()));
        let x = &mut self.runners[k];
        let adapter = Name(script.as_ref().map_or(String::new(), |s| s.adapter.clone()));
        let lacks = |n: &Name| !n.0.is_empty() && (!x.stock.holds.contains(n) || x.stock.closed(n));
        if lacks(&model) || lacks(&adapter) {
            return false;
        }
        x.next += 1;
        let (run, differ) = (x.next, x.differ);
        let next = last.and_then(|l| l.parse::<u64>().ok()).unwrap_or(0) + 1;
        let row = Run {
            place,
            life,
            request: id,
            attempt,
            call,
            script,
            next,
            began: false,
            model: model.clone(),
            differ,
        };
        x.runs.insert(run, row);
        *x.stock.runs.entry(model.clone()).or_default() += 1;
        let runner = x.card.instance.clone();
        if let Some(l) = self.requests.rows.get_mut(&id).and_then(|r| r.attempts.get_mut(&attempt)) {
            l.1 = Some((k, run));
        }
        self.note(Fact::RunBegan { call, runner, model, tenant, place: Some(place) });
        let x = &mut self.runners[k];
        if x.runs.values().filter(|r| r.began).count() as u64 >= x.stock.slots {
            x.queue.push(run);
            x.stock.waiting = x.queue.len() as u64;
        } else {
            self.start_run(k, run);
        }
        true
    }

    pub fn start_run(&mut self, k: usize, run: u64) {
        let x = &mut self.runners[k];
        let life = x.life;
        let Some(row) = x.runs.get_mut(&run) else { return };
        row.began = true;
        let mut wait = if row.script.is_some() { Span::ms(2) } else { x.plain };
        if let Some(s) = &row.script {
            let known = if x.evict { 0 } else { x.warm.get(&s.seed).copied().unwrap_or(0) };
            let left = (row.next - 1).saturating_sub(known) + if known > 0 { 0 } else { 20 };
            wait = wait + Span(x.token.0 * left / 10);
        }
        self.later(wait, Event::Run { runner: k, life, run });
    }
}

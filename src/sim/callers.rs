use super::quota::key_of;
use super::record::Fact;
use super::world::{Event, World};
use crate::forwarding::{AnswerEnd, FlowEvent};
use crate::kernel::ids::*;
use crate::kernel::rand::{Rand, mix};
use crate::kernel::time::{Span, Time};
use crate::msg::{self, OperatorCall, Role};

#[derive(Clone, Debug)]
pub struct SimFlow {
    pub prefix: String,
    pub service: Name,
    pub resumable: bool,
    pub per_s: f64,
    pub tokens: u64,
    pub hot: u64,
    pub adapted: bool,
    pub until: Time,
}

impl World {
    pub fn start_flow(&mut self, f: SimFlow) {
        self.flows.push(f);
        let flow = self.flows.len() - 1;
        self.later(Span(1), Event::Flow { flow });
    }

    pub fn flow(&mut self, flow: usize) {
        let f = self.flows[flow].clone();
        if self.now >= f.until {
            return;
        }
        let mean = 1e6 / f.per_s;
        let wait = Span((mean * (0.5 + self.rand.below(1000) as f64 / 1000.0)) as u64);
        self.later(wait, Event::Flow { flow });
        self.call(&f);
    }

    pub fn call(&mut self, f: &SimFlow) -> u64 {
        let pick = mix(self.calls + 1) % f.hot.max(1);
        self.call_model(f, pick)
    }

    pub fn call_model(&mut self, f: &SimFlow, pick: u64) -> u64 {
        let call = self.calls + 1;
        let tuned = f.adapted && pick < 10 && call.is_multiple_of(6) && self.plan.adapters > pick as usize;
        let adapter = tuned.then(|| format!("a{pick:02}"));
        self.call_named(f, &format!("m{pick:02}"), adapter.as_deref())
    }

    pub fn call_named(&mut self, f: &SimFlow, model: &str, adapter: Option<&str>) -> u64 {
        self.calls += 1;
        let call = self.calls;
        let routers: Vec<usize> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].role == Role::Router).collect();
        let place = routers[self.rand.below(routers.len() as u64) as usize];
        let adapter = adapter.map_or(String::new(), |a| format!("\"adapter\":\"{a}\","));
        let body = (f.tokens > 0).then(|| {
            format!(
                "{{\"model\":\"{model}\",{adapter}\"tokens\":{},\"prefix\":\"p{}\",\"salt\":{call}}}",
                f.tokens,
                call % 5
            )
        });
        let (service, resumable) = (f.service.clone(), f.resumable);
        let path = format!("{}/{call}", f.prefix);
        let key = self.caller_key(call);
        let (told_path, told_body, told_key) = (path.clone(), body.clone(), key.clone());
        self.note(Fact::Called {
            call,
            service,
            path: told_path,
            body: told_body,
            last: 0,
            resumable,
            key: told_key,
        });
        let n = &mut self.nodes[place];
        if n.alive && n.frozen_until > self.now {
            let deed = Box::new(move |w: &mut World| w.front(place, call, &path, body, key));
            n.held.push_back(Event::Do(deed));
        } else {
            self.front(place, call, &path, body, key);
        }
        call
    }

    fn caller_key(&self, call: u64) -> Option<String> {
        let count = self.caller_keys.len() as u64;
        if count > 0 {
            return Some(self.caller_keys[(call % count) as usize].clone());
        }
        self.quota.sender(call).map(|tenant| key_of(&tenant))
    }

    pub fn end_run(&mut self, k: usize, run: u64, whole: bool) {
        let x = &mut self.runners[k];
        let Some(row) = x.runs.remove(&run) else { return };
        x.queue.retain(|r| *r != run);
        if let Some(n) = x.stock.runs.get_mut(&row.model) {
            *n = n.saturating_sub(1);
        }
        let free = (x.runs.values().filter(|r| r.began).count() as u64) < x.stock.slots;
        let next = if free && !x.queue.is_empty() { Some(x.queue.remove(0)) } else { None };
        x.stock.waiting = x.queue.len() as u64;
        self.note(Fact::RunEnded { call: row.call, whole });
        if let Some(next) = next {
            self.start_run(k, next);
        }
    }

    pub fn run_step(&mut self, k: usize, life: u64, run: u64) {
        let x = &mut self.runners[k];
        if x.life != life || !x.alive {
            return;
        }
        if x.dark || x.mute {
            return self.later(Span::ms(100), Event::Run { runner: k, life, run });
        }
        let token = x.token;
        let Some(row) = x.runs.get_mut(&run) else { return };
        let (place, rl, request, attempt) = (row.place, row.life, row.request, row.attempt);
        let head = Box::new(FlowEvent::Head { attempt, status: 200, is_stream: row.script.is_some() });
        let n = row.next;
        let first = n == 1 || !row.model.0.is_empty();
        let raw = match &row.script {
            Some(s) => s.event(n),
            None => {
                let path = self.requests.rows.get(&request).map_or(String::new(), |r| r.path.clone());
                crate::standin::script::plain(&path)
            }
        };
        let raw = if row.differ { raw.replace("data: ", "data: x") } else { raw };
        let last = row.script.as_ref().is_none_or(|s| n > s.tokens);
        let fresh = !std::mem::replace(&mut row.began, true) || first;
        let seed = row.script.as_ref().map(|s| s.seed);
        row.next += 1;
        let x = &mut self.runners[k];
        if let Some(seed) = seed {
            x.warm.insert(seed, n);
        }
        let wait = self.delay();
        let unseen = self
            .requests
            .rows
            .get(&request)
            .is_some_and(|r| r.request.attempts.iter().any(|l| l.no == attempt && !l.has_head));
        if fresh && unseen {
            self.later(wait, Event::RequestFlow { place, life: rl, request, ev: head });
        }
        let ev = Box::new(FlowEvent::Chunk { attempt, raw: bytes::Bytes::from(raw) });
        self.later(wait + Span(1), Event::RequestFlow { place, life: rl, request, ev });
        if last {
            let ev = Box::new(FlowEvent::End { attempt, end: AnswerEnd::Framed });
            self.later(wait + Span(2), Event::RequestFlow { place, life: rl, request, ev });
            self.end_run(k, run, true);
        } else {
            self.later(token, Event::Run { runner: k, life, run });
        }
    }

    pub fn operate(&mut self, place: usize, ev: msg::Event) {
        let n = &mut self.nodes[place];
        if !n.alive {
            return;
        }
        if n.frozen_until > self.now {
            n.held.push_back(Event::Do(Box::new(move |w: &mut World| w.operate(place, ev))));
            return;
        }
        if let msg::Event::OperatorCall { op: OperatorCall::MarkLeaving(name), .. } = &ev {
            self.learnt_leaving(name.clone(), place);
        }
        self.feed(place, ev);
    }

    pub fn learnt_leaving(&mut self, runner: Name, place: usize) {
        self.note(Fact::LeavingLearnt { runner: runner.clone(), place: Some(place) });
        let cut = |n: usize| self.cuts.contains(&(place, n)) || self.cuts.contains(&(n, place));
        if !self.routers().into_iter().any(cut) {
            self.note(Fact::LeavingLearnt { runner, place: None });
        }
    }

    pub fn fresh_id(&mut self) -> ChangeId {
        ChangeId::random(&mut self.rand)
    }

    pub fn tick_requests(&mut self, place: usize, life: u64) {
        let ids: Vec<u64> = self.requests.rows.iter().filter(|r| r.1.place == place).map(|r| *r.0).collect();
        for id in ids {
            self.request(place, life, id, FlowEvent::Tick);
        }
    }
}

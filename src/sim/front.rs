use super::record::Fact;
use super::world::{Event, Woken, World};
use crate::fleet::tenants::KeyDigest;
use crate::forwarding::{FlowAction, FlowEvent, RequestFlow};
use crate::gate::order::RefusalReason;
use crate::gate::readmission::{AdmittedRoute, CountedTenants, RouteRefusal};
use crate::gate::{Balancer, Refusal, RequestSpec, RoutingDecision};
use crate::kernel::time::{Span, Time};
use crate::standin::script::Script;
use crate::standin::tally::End;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

#[derive(Default)]
pub struct Requests {
    pub rows: BTreeMap<u64, SimRequest>,
    pub next: u64,
    /// The nodes and gates at which requests have ended since [`World::check_leaks`] looked last.
    pub ended_at: Vec<(usize, Arc<Mutex<Balancer>>)>,
    /// What ended requests left behind.
    pub leaks: Vec<String>,
}

pub struct SimRequest {
    pub request: RequestFlow,
    pub balancer: Arc<Mutex<Balancer>>,
    pub place: usize,
    pub life: u64,
    pub call: u64,
    pub script: Option<Script>,
    pub path: String,
    pub text: String,
    pub attempts: BTreeMap<u64, (crate::fleet::runner::Runner, Option<(usize, u64)>)>,
    pub gap: (Time, Span),
    /// When it came, by the clock of its router.
    pub arrived_at: Time,
    /// The tenants whose quotas have counted it.
    pub counted: CountedTenants,
}

/// The parameters of a request by its route; its path and key are left out.
pub fn spec_of(id: u64, now: Time, script: Option<&Script>, admitted: &AdmittedRoute) -> RequestSpec {
    let row = admitted.row();
    RequestSpec {
        id,
        service: row.pick(id ^ now.0).clone(),
        class: row.route.class,
        rank: admitted.admission.rank,
        credential: admitted.admission.credential.clone(),
        model: script.map_or("", |s| s.model.as_str()).into(),
        adapter: script.map_or("", |s| s.adapter.as_str()).into(),
        prefix: script.map_or("", |s| s.prefix.as_str()).into(),
        is_resumable: row.route.resumable,
        start_deadline: now + Span::ms(row.route.due_ms),
        answer_deadline: now + Span::ms(row.route.due_ms),
        routes_version: admitted.version,
        route_kind: row.route.kind,
        target_gap: Span::ms(row.route.gap_ms),
        ..RequestSpec::default()
    }
}

impl World {
    pub fn front(&mut self, place: usize, call: u64, path: &str, body: Option<String>, key: Option<String>) {
        let now = self.local(place);
        let n = &self.nodes[place];
        let (life, table) = (n.life, n.table.clone());
        let refused = |w: &mut World, code: &str, end: End| {
            w.note(Fact::Ended { call, end, text: None, after: 0, code: code.into() });
        };
        if !n.alive {
            return refused(self, "no-router", End::Failed);
        }
        let Some(routes) = table.fresh_routes(now) else {
            return refused(self, "not-fresh", End::Refused);
        };
        let key = key.map(|key| KeyDigest::of(key.as_bytes()));
        let admitted = match AdmittedRoute::find(&routes, ("", path), key) {
            Ok(admitted) => admitted,
            Err(RouteRefusal::NoRoute) => return refused(self, "unknown-route", End::Refused),
            Err(RouteRefusal::UnknownKey(_)) => {
                return refused(self, Refusal::new(RefusalReason::UnknownKey, 0).code(), End::Refused);
            }
        };
        let script = body.as_deref().and_then(Script::read);
        let id = self.requests.next + 1;
        let order = RequestSpec { path: path.into(), key, ..spec_of(id, now, script.as_ref(), &admitted) };
        let Some(balancer) = table.get(&order.service) else {
            return refused(self, "not-fresh", End::Refused);
        };
        self.requests.next = id;
        self.nodes[place].seen.add(&order, "", path, body.as_ref().map_or(0, |b| b.len()));
        let request = SimRequest {
            request: RequestFlow::new(order),
            balancer,
            place,
            life,
            call,
            script,
            path: path.to_string(),
            text: String::new(),
            attempts: BTreeMap::new(),
            gap: (self.now, Span(0)),
            arrived_at: now,
            counted: CountedTenants::default(),
        };
        self.take_token(id, request);
    }

    pub fn request(&mut self, place: usize, life: u64, id: u64, ev: FlowEvent) {
        if !self.fits(place, life) {
            return;
        }
        let now = self.local(place);
        let Some(r) = self.requests.rows.get_mut(&id) else { return };
        let balancer = r.balancer.clone();
        let outs = r.request.step(now, ev, &mut balancer.lock().unwrap());
        for out in outs {
            self.request_out(place, life, id, out);
        }
    }

    /// Tells a request its plan; the slot of a plan for one that is over is free again.
    pub fn deliver_plan(&mut self, woken: Woken) {
        let (place, life) = (woken.place, woken.life);
        if self.requests.rows.contains_key(&woken.request) {
            return self.request(place, life, woken.request, FlowEvent::Routed(woken.plan));
        }
        if let RoutingDecision::Send(runner) = woken.plan
            && self.fits(place, life)
        {
            let now = self.local(place);
            woken.balancer.lock().unwrap().release_slot(now, &runner.instance, &woken.model, None);
        }
    }

    fn request_out(&mut self, place: usize, life: u64, id: u64, out: FlowAction) {
        let now = self.local(place);
        let world_now = self.now;
        let Some(r) = self.requests.rows.get_mut(&id) else { return };
        match out {
            FlowAction::Wait { avoid } => {
                let (woken, order, balancer) =
                    (self.woken.clone(), r.request.spec.clone(), r.balancer.clone());
                let (model, waits_at) = (order.model.to_string(), balancer.clone());
                let wake = Box::new(move |plan| {
                    let woken_one = Woken { place, life, request: id, balancer: waits_at, model, plan };
                    woken.lock().unwrap().push_back(woken_one);
                    Ok(())
                });
                balancer.lock().unwrap().wait(now, order, avoid, wake);
            }
            FlowAction::Open { attempt, runner, last_event_id: last } => {
                r.attempts.insert(attempt, (runner, None));
                let wait = self.delay() + self.plus(self.slow_open);
                self.later(wait, Event::Send { place, life, request: id, attempt, last });
            }
            FlowAction::Close { attempt } => {
                if let Some((_, Some((k, run)))) = r.attempts.remove(&attempt) {
                    self.end_run(k, run, false);
                }
            }
            FlowAction::Head { .. } => {}
            FlowAction::Forward(raw) => {
                let gap = world_now.since(r.gap.0);
                if !r.text.is_empty() {
                    r.gap.1 = r.gap.1.max(gap);
                }
                r.gap.0 = world_now;
                r.text.push_str(&String::from_utf8_lossy(&raw));
            }
            FlowAction::Finish => self.end_request(id, End::Whole, ""),
            FlowAction::Abort(_) => self.end_request(id, End::Broken, "broken"),
            FlowAction::Readmit(carried) => self.readmit(id, *carried),
            FlowAction::Refuse(why) => self.end_request(id, End::Refused, why.code()),
            FlowAction::OutcomeUnknown(..) => self.end_request(id, End::Unknown, "unknown"),
            FlowAction::Log(what, text) => self.note(Fact::Told { what, text }),
        }
    }

    fn end_request(&mut self, id: u64, end: End, code: &str) {
        let Some(r) = self.requests.rows.remove(&id) else { return };
        self.requests.ended_at.push((r.place, r.balancer.clone()));
        let shown = matches!(end, End::Whole | End::Broken);
        let text = if shown { Some(r.text) } else { None };
        let (call, after) = (r.call, r.gap.1.as_ms());
        self.note(Fact::Ended { call, end, text, after, code: code.to_string() });
    }

    pub fn drop_requests(&mut self, place: usize) {
        self.drop_waiting_for_quota(place);
        let ids: Vec<u64> = self.requests.rows.iter().filter(|r| r.1.place == place).map(|r| *r.0).collect();
        for id in ids {
            let Some(r) = self.requests.rows.remove(&id) else { continue };
            for (_, run) in r.attempts.into_values() {
                if let Some((k, run)) = run {
                    self.end_run(k, run, false);
                }
            }
            let call = r.call;
            self.note(Fact::Ended {
                call,
                end: End::Broken,
                text: Some(r.text),
                after: 0,
                code: "router-lost".into(),
            });
        }
    }

    pub fn send_attempt(&mut self, place: usize, life: u64, id: u64, attempt: u64, last: Option<String>) {
        if !self.fits(place, life) {
            return;
        }
        let now = self.local(place);
        let Some(r) = self.requests.rows.get(&id) else { return };
        let Some((card, _)) = r.attempts.get(&attempt) else { return };
        let name = card.instance.clone();
        let barred = r.balancer.lock().unwrap().check_before_send(now, &r.request.spec, &name).err();
        if let Some(why) = barred {
            return self.request(place, life, id, FlowEvent::OpenFailed { attempt, reason: Some(why) });
        }
        let call = r.call;
        self.note(Fact::Tried { call });
        let up = self.runner_at(&name).filter(|k| self.runners[*k].alive);
        let Some(k) = up else {
            let ev = Box::new(FlowEvent::OpenFailed { attempt, reason: None });
            return self.later(Span::ms(1), Event::RequestFlow { place, life, request: id, ev });
        };
        if !self.begin_run(k, place, life, id, attempt, last) {
            if let Some(r) = self.requests.rows.get(&id) {
                r.balancer.lock().unwrap().on_missing_weights(now, &name, &r.request.spec);
            }
            let ev = Box::new(FlowEvent::OpenFailed { attempt, reason: None::<RefusalReason> });
            self.later(Span::ms(1), Event::RequestFlow { place, life, request: id, ev });
        }
    }
}

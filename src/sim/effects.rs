use super::record::Fact;
use super::world::{Event, World};
use crate::distribution::relay_node::scope_name;
use crate::kernel::ids::*;
use crate::kernel::time::Span;
use crate::msg::{Effect, Envelope, Msg};
use std::net::SocketAddr;

impl World {
    pub fn effect(&mut self, place: usize, life: u64, e: Effect) {
        match e {
            Effect::Send { to, msg } => {
                let Some(node) = &self.nodes[place].node else { return };
                let own = to == node.me.node;
                let addr = if own { Some(node.me.addr) } else { node.views.member(to).map(|c| c.addr) };
                if let Some(addr) = addr {
                    self.post(place, to, addr, msg);
                }
            }
            Effect::SendAt { addr, msg } => self.post(place, NodeId(0), addr, msg),
            Effect::Answer { id, answer } => {
                self.answered(id, answer);
            }
            Effect::Reset(why) => {
                self.note(Fact::Told { what: "reset", text: why });
                self.kill_node(place);
                self.nodes[place].disk.wipe();
                self.start_node(place);
            }
            Effect::Topic { scope, at, slice, proven } => {
                let now = self.local(place);
                if let Some((config_at, print)) = slice.as_ref().map(|s| s.fingerprint()) {
                    let scope = scope_name(&scope);
                    self.note(Fact::Learnt { place, scope, at, config_at, print });
                }
                self.nodes[place].table.clone().apply_slice(now, &scope, at, slice, proven);
            }
            Effect::ServingLease { scopes, until } => {
                let now = self.local(place);
                self.nodes[place].table.extend_leases(now, &scopes, until);
            }
            Effect::RunnerLeaving(name) => {
                let now = self.local(place);
                self.nodes[place].table.mark_leaving(now, &name);
            }
            Effect::RouterCount(n) => self.nodes[place].routers = n,
            Effect::PollRunners(list) => self.nodes[place].watch = list,
            Effect::ReadList => self.ask_list(place, life),
            Effect::HoldsDuty(on) => self.nodes[place].reads_list = on,
            Effect::QuotaGranted(grants) => {
                let now = self.local(place);
                self.nodes[place].table.quota.lock().unwrap().on_granted(now, &grants);
            }
            Effect::PollRunner(runner) => self.later(Span(1), Event::Looked { place, life, runner }),
            Effect::Holdings(rows) => {
                let now = self.local(place);
                self.nodes[place].table.clone().on_holdings(now, &rows);
            }
            Effect::Ready(r) => self.nodes[place].ready = r,
            Effect::Leaving(d) => self.nodes[place].departure = Some(d),
            Effect::OrderRunner(order) => self.drive(place, life, order),
            Effect::Save(_) | Effect::Rewrite(_) => {}
        }
    }

    fn post(&mut self, place: usize, to: NodeId, addr: SocketAddr, msg: Msg) {
        let Some(node) = &self.nodes[place].node else { return };
        let letter = Envelope { from: node.me.node, to, fleet: node.views.fleet, addr: node.me.addr, msg };
        if let Some(fact) = Fact::of_message(self.nodes[place].life, &letter.msg) {
            self.note(fact);
        }
        if let Some(c) = &mut self.cost {
            c.sent(place, &letter);
        }
        let dest = self.nodes.iter().position(|n| n.place.addr == addr);
        let cut = dest.is_some_and(|d| self.cuts.contains(&(place, d)));
        let lost = self.loss;
        if cut || (lost > 0 && self.chance(lost)) {
            return;
        }
        let wait = if dest == Some(place) { Span(10) } else { self.delay() };
        self.later(wait, Event::Envelope { to: addr, letter: Box::new(letter) });
    }
}

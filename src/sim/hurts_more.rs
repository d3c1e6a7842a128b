use super::faults::{Kind, one, span};
use super::nodes::SimNode;
use super::record::Fact;
use super::world::World;
use crate::kernel::rand::Rand;
use crate::kernel::time::{Span, Time};
use crate::msg::{self, Role};
use std::net::SocketAddr;

pub fn strike(w: &mut World, kind: Kind, core: &[usize], routers: &[usize]) {
    let any = w.rand.below(w.runners.len() as u64) as usize;
    match kind {
        Kind::RunnerSlow => {
            let long = span(w, 1000, 6000);
            let (token, plain) = (w.runners[any].token, w.runners[any].plain);
            w.runners[any].token = Span(token.0 * 6);
            w.runners[any].plain = Span::ms(700);
            w.at(w.now + long, move |w| {
                w.runners[any].token = token;
                w.runners[any].plain = plain;
            });
        }
        Kind::RunnerMute => {
            let long = span(w, 1000, 6000);
            w.runners[any].mute = true;
            w.at(w.now + long, move |w| w.runners[any].mute = false);
        }
        Kind::RunnerLeaves => {
            let wait = span(w, 500, 4000);
            w.runners[any].stock.leaving = true;
            w.at(w.now + wait, move |w| renew(w, any));
        }
        Kind::RunnersHerd => {
            let wait = span(w, 200, 2000);
            for k in 0..w.runners.len() {
                w.kill_runner(k);
                w.at(w.now + wait, move |w| w.start_runner(k));
            }
        }
        Kind::ZoneLoss => {
            let n = one(w, routers);
            let zone = w.nodes[n].place.domain.clone();
            let wait = span(w, 500, 5000);
            lose_zone(w, &zone.0, Some(wait));
        }
        Kind::ZoneCut => {
            let n = one(w, routers);
            let zone = w.nodes[n].place.domain.clone();
            let inside: Vec<usize> =
                (0..w.nodes.len()).filter(|n| w.nodes[*n].place.domain == zone).collect();
            part(w, &inside);
        }
        Kind::EdgeCut => part(w, core),
        Kind::ThreeWay => {
            let (a, b) = (vec![core[0]], vec![core[1]]);
            part(w, &a);
            part(w, &b);
        }
        Kind::ClockStep => {
            let (n, step) = (w.rand.below(w.nodes.len() as u64) as usize, span(w, 100, 9000));
            w.nodes[n].offset += step.0;
        }
        Kind::DiskStall => {
            let (n, long) = (one(w, core), span(w, 2000, 9000));
            w.nodes[n].sync = long;
            w.at(w.now + Span::ms(600), move |w| w.nodes[n].sync = Span::ms(2));
        }
        Kind::Warned => {
            let (n, warning) = (w.rand.below(w.nodes.len() as u64) as usize, span(w, 20, 1500));
            w.warn_node(n);
            let wait = span(w, 200, 3000);
            w.at(w.now + warning, move |w| w.kill_node(n));
            w.at(w.now + warning + wait, move |w| {
                if !w.nodes[n].alive {
                    w.start_node(n);
                }
            });
        }
        _ => empty_core(w, core),
    }
}

fn renew(w: &mut World, k: usize) {
    w.kill_runner(k);
    w.runners[k].card.instance.0.push('y');
    w.start_runner(k);
    let n = w.routers()[0];
    w.list_op(n);
}

pub fn part(w: &mut World, inside: &[usize]) {
    let long = span(w, 500, 7000);
    let mut rows = Vec::new();
    for a in 0..w.nodes.len() {
        for b in 0..w.nodes.len() {
            if inside.contains(&a) != inside.contains(&b) {
                rows.push((a, b));
            }
        }
    }
    w.cuts.extend(rows.iter().copied());
    w.at(w.now + long, move |w| {
        for row in rows {
            w.cuts.remove(&row);
        }
    });
}

pub fn lose_zone(w: &mut World, zone: &str, back: Option<Span>) {
    for n in 0..w.nodes.len() {
        if w.nodes[n].place.domain.0 == zone {
            w.kill_node(n);
            if let Some(wait) = back {
                w.at(w.now + wait, move |w| {
                    if !w.nodes[n].alive {
                        w.start_node(n);
                    }
                });
            }
        }
    }
    for k in 0..w.runners.len() {
        if w.runners[k].card.domain.0 == zone {
            w.kill_runner(k);
            if let Some(wait) = back {
                w.at(w.now + wait, move |w| w.start_runner(k));
            }
        }
    }
}

fn empty_core(w: &mut World, core: &[usize]) {
    let fine = |w: &World| core.iter().all(|n| w.nodes[*n].alive && w.nodes[*n].ready);
    if !fine(w) || w.nodes.len() > 40 {
        return;
    }
    let n = one(w, core);
    w.kill_node(n);
    let mut place = w.nodes[n].place.clone();
    place.addr = SocketAddr::from(([10, 0, 0, 2], 1000 + w.nodes.len() as u16));
    w.nodes[n].retired = true;
    let new = SimNode::new(place, Role::Controller, &mut w.rand);
    w.nodes.push(new);
    let (k, wait) = (w.nodes.len() - 1, span(w, 200, 3000));
    w.at(w.now + wait, move |w| w.start_node(k));
}

impl World {
    pub fn warn_node(&mut self, n: usize) {
        if !self.nodes[n].alive {
            return;
        }
        self.note(Fact::Told { what: "warned", text: n.to_string() });
        let now = self.local(n);
        self.nodes[n].table.stop(now);
        self.operate(n, msg::Event::StopAnnounced);
    }

    /// SIGTERM: the process ends once the node has left in order, or when `grace` is over.
    pub fn stop_node(&mut self, n: usize, grace: Span) {
        self.warn_node(n);
        let (life, due) = (self.nodes[n].life, self.now + grace);
        self.at(self.now + LEAST_STOP, move |w| end_when_left(w, n, life, due));
    }
}

/// A daemon that is stopped lives at least this long, so that open requests can end.
const LEAST_STOP: Span = Span::ms(400);
/// How often a daemon that is stopped looks whether its node has left.
const STOP_LOOK: Span = Span::ms(50);

fn end_when_left(w: &mut World, n: usize, life: u64, due: Time) {
    if !w.fits(n, life) {
        return;
    }
    let left = w.nodes[n].role == Role::Router || w.nodes[n].departure.is_some_and(|d| d.is_done);
    if left || w.now >= due {
        return w.kill_node(n);
    }
    w.at(w.now + STOP_LOOK, move |w| end_when_left(w, n, life, due));
}

use super::config::NodeConfig;
use super::input::Hand;
use super::links::Links;
use super::serve::serve;
use crate::gate::BalancerTable;
use crate::http::admin::ChangeQueue;
use crate::http::serve::Front;
use crate::kernel::time::Time;
use crate::msg::Role;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpListener;

pub fn admin(
    c: &NodeConfig,
    hand: &Hand,
    front: &Arc<Front>,
    links: &Arc<Links>,
    flags: (Arc<AtomicBool>, Arc<AtomicBool>),
    socket: TcpListener,
) {
    let (role, f) = (c.role, front.clone());
    let (stopping, fit) = flags;
    let ready = move || {
        if stopping.load(Ordering::SeqCst) {
            return Err("this node is stopping".to_string());
        }
        let fine = match role {
            Role::Router => f.table.fresh_routes(f.clock.now()).is_some(),
            Role::Controller => fit.load(Ordering::SeqCst),
        };
        if fine {
            Ok(())
        } else {
            Err("it could not yet prove its state current; check seeds and core".into())
        }
    };
    let (f, l) = (front.clone(), links.clone());
    let metrics = move || {
        let mut out = balancers(&f.table, f.clock.now());
        out.push_str(&quota(&f.table, f.clock.now()));
        let _ = writeln!(out, "spindledock_open_orders {}", f.open.load(Ordering::Relaxed));
        let _ = writeln!(out, "spindledock_bad_frames {}", l.bad.load(Ordering::Relaxed));
        let _ = writeln!(out, "spindledock_dropped_letters {}", l.lost.load(Ordering::Relaxed));
        out
    };
    let desk = Arc::new(ChangeQueue {
        hand: hand.clone(),
        ready: Box::new(ready),
        metrics: Box::new(metrics),
        operator: c.protocols.operator.clone(),
    });
    tokio::spawn(serve(socket, Arc::new(move |order| Box::pin(desk.clone().answer(order)))));
}

fn quota(table: &BalancerTable, now: Time) -> String {
    let mut shares = table.quota.lock().unwrap();
    let counts = shares.counts();
    let mut out = String::new();
    let mut row = |key: &str, value: u64| {
        let _ = writeln!(out, "spindledock_quota_{key} {value}");
    };
    row("at_once", counts.at_once);
    row("waited", counts.waited);
    row("blocked", counts.blocked);
    row("unanswered", counts.unanswered);
    row("waiting", shares.waiting() as u64);
    row("outstanding_tokens", shares.outstanding(now));
    out
}

fn balancers(table: &BalancerTable, now: Time) -> String {
    let mut out = String::new();
    for balancer in table.balancers() {
        let g = balancer.lock().unwrap();
        let name = g.service.clone();
        let credit = g.retry_budget.credit();
        let mut row = |key: &str, value: f64| {
            let _ = writeln!(out, "spindledock_{key}{{service=\"{name}\"}} {value}");
        };
        row("inbox", g.queue.len() as f64);
        row("first_sends", g.retry_budget.first_sends as f64);
        row("extra_tries", g.retry_budget.extra_sends as f64);
        row("retry_credit", credit);
        row("reserved_tries", g.retry_budget.reserved() as f64);
        row("freshness_age_ms", now.since(g.proven_at).as_ms() as f64);
        row("expected_wait_ms", g.last_expected_wait.as_ms() as f64);
        row("version", g.slice_version.0 as f64);
        for (key, n) in g.counters.clone() {
            row(key, n as f64);
        }
        let active: u64 = g.active_requests.values().sum();
        row("active", active as f64);
    }
    out
}

//! Readiness and metrics of this process, as its admin API shows them.

use super::config::NodeConfig;
use super::input::NodeHandle;
use super::links::Links;
use super::listener::{AnswerFuture, serve_admin};
use crate::gate::BalancerTable;
use crate::http::admin::{AdminApi, MAX_CONCURRENT_READS};
use crate::http::admin_answers::AdminAnswers;
use crate::http::client_connections::ClientConnections;
use crate::http::memory_account::MemoryAccount;
use crate::http::request_service::RequestService;
use crate::kernel::time::Time;
use crate::msg::Role;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Serves the admin API on `socket`. `flags` are whether the process is stopping and whether a controller is ready.
pub fn serve_admin_api(
    config: &NodeConfig,
    node: &NodeHandle,
    front: &Arc<RequestService>,
    links: &Arc<Links>,
    flags: (Arc<AtomicBool>, Arc<AtomicBool>),
    socket: TcpListener,
) {
    let (role, service) = (config.role, front.clone());
    let (stopping, is_ready) = flags;
    let ready = move || {
        if stopping.load(Ordering::SeqCst) {
            return Err("this node is stopping".to_string());
        }
        let fine = match role {
            Role::Router => service.table.are_routes_current(service.clock.now()),
            Role::Controller => is_ready.load(Ordering::SeqCst),
        };
        if fine {
            Ok(())
        } else {
            Err("it could not yet prove its state current; check seeds and core".into())
        }
    };
    let (service, links) = (front.clone(), links.clone());
    let metrics = move || {
        let mut out = gate_metrics(&service.table, service.clock.now());
        out.push_str(&quota_metrics(&service.table, service.clock.now()));
        let _ = writeln!(out, "spindledock_open_orders {}", service.open_requests.load(Ordering::Relaxed));
        let unknown_routes = service.unknown_routes.load(Ordering::Relaxed);
        let _ = writeln!(out, "spindledock_refused_unknown_route {unknown_routes}");
        let _ = writeln!(out, "spindledock_bad_frames {}", links.bad_frames.load(Ordering::Relaxed));
        let _ =
            writeln!(out, "spindledock_dropped_letters {}", links.dropped_messages.load(Ordering::Relaxed));
        out
    };
    let limit = config.machine.admin_connections();
    let connections = ClientConnections::with_limit(front.clock.clone(), limit);
    let api = Arc::new(AdminApi {
        node: node.clone(),
        ready: Box::new(ready),
        metrics: Box::new(metrics),
        memory: front.memory.clone(),
        reads: Semaphore::new(MAX_CONCURRENT_READS),
        answers: AdminAnswers {
            memory: MemoryAccount::new(front.clock.clone(), config.machine.answer_bytes()),
            connections: connections.clone(),
        },
        operator: config.protocols.operator.clone(),
    });
    let handler = Arc::new(move |order| Box::pin(api.clone().answer(order)) as AnswerFuture);
    tokio::spawn(serve_admin(socket, handler, connections));
}

/// The metrics of quotas.
fn quota_metrics(table: &BalancerTable, now: Time) -> String {
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

/// The metrics of each service's balancer.
fn gate_metrics(table: &BalancerTable, now: Time) -> String {
    let mut out = String::new();
    for balancer in table.balancers() {
        let balancer = balancer.lock().unwrap();
        let name = balancer.service.clone();
        let credit = balancer.retry_budget.credit();
        let mut row = |key: &str, value: f64| {
            let _ = writeln!(out, "spindledock_{key}{{service=\"{name}\"}} {value}");
        };
        row("inbox", balancer.queue.len() as f64);
        row("first_sends", balancer.retry_budget.first_sends as f64);
        row("extra_tries", balancer.retry_budget.extra_sends as f64);
        row("retry_credit", credit);
        row("reserved_tries", balancer.retry_budget.reserved() as f64);
        row("freshness_age_ms", now.since(balancer.proven_at).as_ms() as f64);
        row("expected_wait_ms", balancer.last_expected_wait.as_ms() as f64);
        row("version", balancer.slice_version.0 as f64);
        for (key, n) in balancer.counters.clone() {
            row(key, n as f64);
        }
        let active: u64 = balancer.active_requests.values().sum();
        row("active", active as f64);
    }
    out
}

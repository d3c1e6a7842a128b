//! The periodic work of a router's process: reports of its state to the node, and the ticks of its balancers.

use super::input::NodeHandle;
use crate::gate::BalancerTable;
use crate::http::recent_requests::RecentRequest;
use crate::http::request_service::RequestService;
use crate::kernel::time::Clock;
use crate::msg::Event;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Every how many rounds the traffic by route is part of a router's report.
const TRAFFIC_EVERY_ROUNDS: u64 = 8;
/// Every how many ticks of a router's balancers the limits on client connections are applied.
const SWEEP_TICKS: u32 = 4;

/// Starts what only a router does: it reports its state and its wants to the node, and ticks its balancers.
pub(super) fn router_tasks(
    table: &Arc<BalancerTable>,
    clock: &Arc<dyn Clock>,
    node: &NodeHandle,
    front: &Arc<RequestService>,
    routers: &Arc<AtomicU64>,
) {
    let inbox = Mutex::new(node.clone());
    table.set_load_requester(Arc::new(move |want| inbox.lock().unwrap().send(Event::NameWanted(want))));
    let inbox = Mutex::new(node.clone());
    let asker = move |demand| inbox.lock().unwrap().send(Event::QuotaWanted(demand));
    table.quota.lock().unwrap().set_demand_handler(Arc::new(asker));
    let service = front.clone();
    let recent = Arc::new(move || service.recent.rows());
    tokio::spawn(publish_router_state(table.clone(), clock.clone(), recent, node.clone()));
    let (table, clock, routers, front) = (table.clone(), clock.clone(), routers.clone(), front.clone());
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(Duration::from_millis(100));
        let mut ticks = 0u32;
        loop {
            tick.tick().await;
            table.tick(clock.now(), routers.load(Ordering::SeqCst));
            ticks += 1;
            if ticks.is_multiple_of(SWEEP_TICKS) {
                front.sweep();
            }
        }
    });
}

/// Reports the state of this router to its node every 250 ms, with the result of rehearsing the current candidate
/// configuration. Each candidate is rehearsed once; `recent` gives the requests that it is rehearsed against.
async fn publish_router_state(
    table: Arc<BalancerTable>,
    clock: Arc<dyn Clock>,
    recent: Arc<dyn Fn() -> Vec<RecentRequest> + Send + Sync>,
    node: NodeHandle,
) {
    let mut tick = tokio::time::interval(Duration::from_millis(250));
    let mut last_rehearsal = None;
    let mut rounds = 0u64;
    loop {
        tick.tick().await;
        let mut tell = table.router_report(clock.now());
        rounds += 1;
        if rounds.is_multiple_of(TRAFFIC_EVERY_ROUNDS) {
            tell.live = crate::gate::rehearse::live(&table, clock.now(), &recent());
        }
        if let (at, Some(t)) = table.candidate() {
            let done: Option<(_, crate::msg::RehearsalResult)> =
                last_rehearsal.take().filter(|l: &(_, _)| l.0 == at);
            let row = match done {
                Some((_, row)) => row,
                None => crate::gate::rehearse::rehearse(&table, &*clock, &t, &recent()),
            };
            tell.rehearsal = Some(row.clone());
            last_rehearsal = Some((at, row));
        }
        node.send(crate::msg::Event::RouterState(Arc::new(tell)));
    }
}

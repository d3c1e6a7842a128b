//! Calls to runners on behalf of the node, and the periodic report of a router's state to it.

use crate::fleet::runner::{Runner, RunnerReport};
use crate::gate::Table;
use crate::http::connection::SendError;
use crate::http::pool::{Pool, always_allowed};
use crate::kernel::time::Clock;
use crate::msg::RunnerOrder;
use crate::protocol::RunnerProtocol;
use hyper::header::HeaderMap;
use std::sync::Arc;
use std::time::Duration;

/// Every how many rounds the traffic by route is part of a router's report.
const TRAFFIC_EVERY_ROUNDS: u64 = 8;
/// The time limit of a call to a runner.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Asks a runner for its report; `None` if it gives no valid one in time.
pub async fn fetch_report(pool: &Pool, side: &dyn RunnerProtocol, runner: &Runner) -> Option<RunnerReport> {
    let call = side.report(runner);
    let sent = call.headers().clone();
    let matches_request = |heads: &HeaderMap| side.may_answer(&sent, heads);
    let (status, body) =
        pool.fetch_matching(runner.addr, call, CALL_TIMEOUT, always_allowed(), matches_request).await.ok()?;
    if status != 200 {
        return None;
    }
    side.read_report(runner, &body)
}

/// Sends an order to load or unload to a runner, unless its due time has passed. Returns the status of the answer, 499
/// if the order was not sent, and 0 if it may have arrived but has no answer.
pub async fn send_order(
    pool: &Pool,
    side: &dyn RunnerProtocol,
    clock: Arc<dyn Clock>,
    o: &RunnerOrder,
) -> u16 {
    let due = o.due;
    let check = Arc::new(move || clock.now() < due);
    let call = side.order_request(o);
    let sent = call.headers().clone();
    let matches_request = |heads: &HeaderMap| side.may_answer(&sent, heads);
    match pool.fetch_matching(o.runner.addr, call, CALL_TIMEOUT, check, matches_request).await {
        Ok((status, _)) => status,
        Err(SendError::NotSent | SendError::RefusedByCheck) => 499,
        Err(SendError::MaybeSent) => 0,
    }
}

/// Reports the state of this router to its node every 250 ms, with the result of rehearsing the current candidate
/// configuration. Each candidate is rehearsed once; `recent` gives the requests that it is rehearsed against.
pub async fn publish_router_state(
    table: Arc<Table>,
    clock: Arc<dyn Clock>,
    recent: Arc<dyn Fn() -> Vec<crate::http::recent_requests::RecentRequest> + Send + Sync>,
    node: super::input::NodeHandle,
) {
    let mut tick = tokio::time::interval(Duration::from_millis(250));
    let mut last_rehearsal = None;
    let mut rounds = 0u64;
    loop {
        tick.tick().await;
        let mut tell = table.tell(clock.now());
        rounds += 1;
        if rounds.is_multiple_of(TRAFFIC_EVERY_ROUNDS) {
            tell.live = crate::gate::rehearse::live(&table, clock.now(), &recent());
        }
        if let (at, Some(t)) = table.trial() {
            let done: Option<(_, crate::msg::RehearsalResult)> =
                last_rehearsal.take().filter(|l: &(_, _)| l.0 == at);
            let row = match done {
                Some((_, runner)) => runner,
                None => crate::gate::rehearse::rehearse(&table, &*clock, &t, &recent()),
            };
            tell.rehearsal = Some(row.clone());
            last_rehearsal = Some((at, row));
        }
        node.send(crate::msg::Event::RouterState(std::sync::Arc::new(tell)));
    }
}

//! Calls to runners on behalf of the node: reports are fetched, orders are sent.

use crate::fleet::runner::{Runner, RunnerReport};
use crate::http::connection::SendError;
use crate::http::pool::{Pool, always_allowed};
use crate::kernel::time::Clock;
use crate::msg::RunnerOrder;
use crate::protocol::RunnerProtocol;
use hyper::header::HeaderMap;
use std::sync::Arc;
use std::time::Duration;

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

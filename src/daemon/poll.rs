use crate::fleet::runner::{Runner, RunnerReport};
use crate::gate::BalancerTable;
use crate::http::connection::SendError;
use crate::http::pool::{Pool, open};
use crate::kernel::time::Clock;
use crate::msg::RunnerOrder;
use crate::protocol::RunnerProtocol;
use hyper::header::HeaderMap;
use std::sync::Arc;
use std::time::Duration;

const LIVE_EVERY: u64 = 8;
const DUE: Duration = Duration::from_millis(1000);

pub async fn report(pool: &Pool, side: &dyn RunnerProtocol, r: &Runner) -> Option<RunnerReport> {
    let call = side.report(r);
    let sent = call.headers().clone();
    let own = |heads: &HeaderMap| side.may_answer(&sent, heads);
    let (status, body) = pool.ask(r.addr, call, DUE, open(), own).await.ok()?;
    if status != 200 {
        return None;
    }
    side.read_report(r, &body)
}

pub async fn drive(pool: &Pool, side: &dyn RunnerProtocol, clock: Arc<dyn Clock>, o: &RunnerOrder) -> u16 {
    let due = o.due;
    let check = Arc::new(move || clock.now() < due);
    let call = side.order_request(o);
    let sent = call.headers().clone();
    let own = |heads: &HeaderMap| side.may_answer(&sent, heads);
    match pool.ask(o.runner.addr, call, DUE, check, own).await {
        Ok((status, _)) => status,
        Err(SendError::NotSent | SendError::Barred) => 499,
        Err(SendError::Unsure) => 0,
    }
}

pub async fn tells(
    table: Arc<BalancerTable>,
    clock: Arc<dyn Clock>,
    seen: Arc<dyn Fn() -> Vec<crate::http::sender::Kept> + Send + Sync>,
    hand: super::input::Hand,
) {
    let mut tick = tokio::time::interval(Duration::from_millis(250));
    let mut last = None;
    let mut rounds = 0u64;
    loop {
        tick.tick().await;
        let mut tell = table.router_report(clock.now());
        rounds += 1;
        if rounds.is_multiple_of(LIVE_EVERY) {
            tell.live = crate::gate::rehearse::live(&table, clock.now(), &seen());
        }
        if let (at, Some(t)) = table.candidate() {
            let done: Option<(_, crate::msg::RehearsalResult)> = last.take().filter(|l: &(_, _)| l.0 == at);
            let row = match done {
                Some((_, r)) => r,
                None => crate::gate::rehearse::rehearse(&table, &*clock, &t, &seen()),
            };
            tell.rehearsal = Some(row.clone());
            last = Some((at, row));
        }
        hand.feed(crate::msg::Event::RouterState(std::sync::Arc::new(tell)));
    }
}

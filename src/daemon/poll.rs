use crate::fleet::runner::{Report, Runner};
use crate::gate::Table;
use crate::http::pool::{Miss, Pool, open};
use crate::kernel::time::Clock;
use crate::msg::RunnerOrder;
use crate::seam::RunnerSide;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const POLL: Duration = Duration::from_millis(300);
const LIVE_EVERY: u64 = 8;
const DUE: Duration = Duration::from_millis(1000);

pub async fn report(pool: &Pool, side: &dyn RunnerSide, r: &Runner) -> Option<Report> {
    let (status, body) = pool.whole(r.addr, side.report(r), DUE, open()).await.ok()?;
    if status != 200 {
        return None;
    }
    side.read_report(r, &body)
}

pub async fn drive(pool: &Pool, side: &dyn RunnerSide, clock: Arc<dyn Clock>, o: &RunnerOrder) -> u16 {
    let due = o.due;
    let check = Box::new(move || clock.now() < due);
    match pool.whole(o.runner.addr, side.drive(o), DUE, check).await {
        Ok((status, _)) => status,
        Err(Miss::NotSent | Miss::Barred) => 499,
        Err(Miss::Unsure) => 0,
    }
}

pub type Told = Arc<dyn Fn(Runner, Option<Report>) + Send + Sync>;

pub async fn watch(
    pool: Arc<Pool>,
    side: Arc<dyn RunnerSide>,
    list: Arc<dyn Fn() -> Vec<Runner> + Send + Sync>,
    told: Told,
) {
    let busy: Arc<Mutex<BTreeSet<crate::kernel::ids::Name>>> = Arc::default();
    let mut tick = tokio::time::interval(POLL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        for r in list() {
            if !busy.lock().unwrap().insert(r.instance.clone()) {
                continue;
            }
            let (pool, told, busy, side) = (pool.clone(), told.clone(), busy.clone(), side.clone());
            tokio::spawn(async move {
                let rep = report(&pool, &*side, &r).await;
                busy.lock().unwrap().remove(&r.instance);
                told(r, rep);
            });
        }
    }
}

pub async fn tells(
    table: Arc<Table>,
    clock: Arc<dyn Clock>,
    seen: Arc<dyn Fn() -> Vec<crate::http::sender::Kept> + Send + Sync>,
    hand: super::driver::Hand,
) {
    let mut tick = tokio::time::interval(Duration::from_millis(250));
    let mut last = None;
    let mut rounds = 0u64;
    loop {
        tick.tick().await;
        let mut tell = table.tell(clock.now());
        rounds += 1;
        if rounds % LIVE_EVERY == 0 {
            tell.live = crate::gate::rehearse::live(&table, clock.now(), &seen());
        }
        if let (at, Some(t)) = table.trial() {
            let done: Option<(_, crate::msg::Rehearsal)> = last.take().filter(|l: &(_, _)| l.0 == at);
            let row = match done {
                Some((_, r)) => r,
                None => crate::gate::rehearse::rehearse(&table, &*clock, &t, &seen()),
            };
            tell.rehearsal = Some(row.clone());
            last = Some((at, row));
        }
        hand.feed(crate::msg::Event::RouterState(Box::new(tell)));
    }
}

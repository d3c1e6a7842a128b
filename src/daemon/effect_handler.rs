//! Carries out the effects of a node that the driver passes on: routing, calls to runners, and readiness.

use super::driver::EffectHandler;
use super::input::NodeHandle;
use super::runner_calls;
use super::runner_list_poller::RunnerListPoller;
use crate::chain::leaving::Departure;
use crate::gate::BalancerTable;
use crate::http::pool::Pool;
use crate::kernel::time::Clock;
use crate::msg::*;
use crate::protocol::Protocols;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// The runners whose reports the node wants.
pub(super) type Runners = Arc<Mutex<Vec<crate::fleet::runner::Runner>>>;

/// Carries out the effects of the node that concern routing, calls to runners and readiness.
pub(super) fn act(
    table: &Arc<BalancerTable>,
    clock: &Arc<dyn Clock>,
    pool: &Arc<Pool>,
    node: &NodeHandle,
    routers: &Arc<AtomicU64>,
    (runners, is_ready, departure): (&Runners, &Arc<AtomicBool>, &Arc<Mutex<Departure>>),
    (protocols, list): (&Protocols, Option<Arc<RunnerListPoller>>),
) -> EffectHandler {
    let (table, clock, pool, node, routers) =
        (table.clone(), clock.clone(), pool.clone(), node.clone(), routers.clone());
    let (runners, is_ready, side) = (runners.clone(), is_ready.clone(), protocols.runner.clone());
    let departure = departure.clone();
    let runtime = tokio::runtime::Handle::current();
    Box::new(move |effect| match effect {
        Effect::Topic { scope, at, slice, proven } => {
            table.apply_slice(clock.now(), &scope, at, slice, proven)
        }
        Effect::ServingLease { scopes, until } => table.extend_leases(clock.now(), &scopes, until),
        Effect::RunnerLeaving(name) => table.mark_leaving(clock.now(), &name),
        Effect::RouterCount(n) => routers.store(n, Ordering::SeqCst),
        Effect::PollRunners(list) => *runners.lock().unwrap() = list,
        Effect::HoldsDuty(on) => drop(list.as_ref().map(|l| l.set_enabled(on))),
        Effect::ReadList => drop(list.as_ref().map(|l| l.read_now())),
        Effect::Holdings(rows) => table.on_holdings(clock.now(), &rows),
        Effect::QuotaGranted(grants) => table.quota.lock().unwrap().on_granted(clock.now(), &grants),
        Effect::PollRunner(name) => {
            let found = runners.lock().unwrap().iter().find(|runner| runner.instance == name).cloned();
            let Some(runner) = found else { return };
            let (pool, node, side) = (pool.clone(), node.clone(), side.clone());
            runtime.spawn(async move {
                let report = runner_calls::fetch_report(&pool, &*side, &runner).await;
                node.send(Event::RunnerReport { instance: runner.instance, report });
            });
        }
        Effect::Ready(ready) => is_ready.store(ready, Ordering::SeqCst),
        Effect::Leaving(now) => *departure.lock().unwrap() = now,
        Effect::OrderRunner(order) => {
            let (pool, clock, node, side) = (pool.clone(), clock.clone(), node.clone(), side.clone());
            runtime.spawn(async move {
                let status = runner_calls::send_order(&pool, &*side, clock, &order).await;
                node.send(Event::OrderAnswered { order: order.order, status });
            });
        }
        _ => {}
    })
}

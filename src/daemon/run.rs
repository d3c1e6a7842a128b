use super::assemble::{Place, controller, router};
use super::config::{HELP, NodeConfig, Start};
use super::driver::Driver;
use super::input::{Hand, Input};
use super::links::Links;
use super::reload::Origin;
use super::serve::{Work, bind, serve_clients};
use super::signals::Signals;
use super::writer::Writer;
use super::{logs, poll};
use crate::chain::leaving::Departure;
use crate::gate::BalancerTable;
use crate::http::client::ClientConnections;
use crate::http::pool::Pool;
use crate::http::serve::Front;
use crate::kernel::disk::LogFile;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::rand::OsRandom;
use crate::kernel::registry::Registry;
use crate::kernel::time::{BootClock, Clock, Span};
use crate::msg::*;
use crate::protocol::Protocols;
use error_stack::{Report, ResultExt};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

/// Every how many ticks of a router the limits on clients are applied.
const SWEEP_TICKS: u32 = 4;

type Runners = Arc<Mutex<Vec<crate::fleet::runner::Runner>>>;

pub fn main(role: Role) -> std::process::ExitCode {
    let name = if role == Role::Router { "spindledock-router" } else { "spindledock-controller" };
    let origin = Origin::new(role, pico_args::Arguments::from_env());
    let config = match (origin.read)() {
        Ok(Start::Help) => {
            println!("{name}: one node of a spindledock fleet\n\n{HELP}");
            return 0.into();
        }
        Ok(Start::Checked) => {
            println!("settings are fine");
            return 0.into();
        }
        Ok(Start::Inspect(config)) => return super::restore::tell(&config, false),
        Ok(Start::Restore(config)) => return super::restore::tell(&config, true),
        Ok(Start::Run(config)) => config,
        Err(bad) => {
            for f in &bad {
                eprintln!("{name}: {f}");
            }
            eprintln!("{name}: {} fault(s); nothing was started", bad.len());
            return 2.into();
        }
    };
    logs::start();
    super::panics::end_process_on_panic();
    let rt = match config.lean {
        true => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        false => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    };
    let rt = rt.expect("the machine must let this process start threads");
    match rt.block_on(run(config, origin)) {
        Ok(()) => 0.into(),
        Err(e) => {
            eprintln!("{name}: {e:?}");
            1.into()
        }
    }
}

pub fn place(c: &NodeConfig) -> Place {
    Place {
        addr: c.addr,
        admin: c.admin,
        domain: c.domain.clone(),
        seeds: c.seeds.clone(),
        core: c.core,
        bear: c.bear,
        first: c.first,
        proof: Span::ms(c.proof_ms),
        lease: Span::ms(c.lease_ms),
        policy: super::assemble::Policy::Move,
        list: c.protocols.list.as_ref().map(|list| list.timing()),
        protocols: c.protocols.clone(),
        quota: c.quota,
    }
}

async fn run(c: NodeConfig, origin: Origin) -> Result<(), Report<Fault>> {
    let mut signals = Signals::catch();
    let start = || Fault::new(Kind::Config, "start", "this node did not start", "mend the cause below");
    let links_socket = bind(c.addr, "address").await.change_context_lazy(start)?;
    let admin_socket = bind(c.admin, "admin").await.change_context_lazy(start)?;
    let http_socket = match c.http {
        Some(a) => Some(bind(a, "http").await.change_context_lazy(start)?),
        None => None,
    };
    let (tx, rx) = mpsc::channel();
    let file = c.data.as_ref().map(|dir| LogFile::open(dir));
    let file = file.transpose().map_err(Report::new).change_context_lazy(start)?;
    let disk = file.map(|d| Writer::start(Box::new(d), tx.clone()));
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let services = Arc::new(Registry::default());
    let links = Links::new(tokio::runtime::Handle::current());
    let table = Arc::new(match c.protocols.runner.plain_services_report() {
        true => BalancerTable::new(c.domain.clone(), Span::ms(c.proof_ms)),
        false => BalancerTable::with_unpolled_plain_runners(c.domain.clone(), Span::ms(c.proof_ms)),
    });
    services.add(links.clone());
    services.add(table.clone());
    let pool = Arc::new(Pool::default());
    let hand = Hand { tx: tx.clone() };
    let routers = Arc::new(AtomicU64::new(1));
    let runners: Runners = Arc::default();
    let fit = Arc::new(AtomicBool::new(false));
    let list = super::roster::Roster::new(&c.protocols, pool.clone(), hand.clone(), clock.clone());
    let departure: Arc<Mutex<Departure>> = Arc::default();
    let flags = (&runners, &fit, &departure);
    let act = act(&table, &clock, &pool, &hand, &routers, flags, (&c.protocols, list));
    let (spot, role, ticks) = (place(&c), c.role, clock.clone());
    let build = Box::new(move |records| {
        let now = ticks.now();
        match role {
            Role::Router => (router(&spot, now, Box::new(OsRandom)), vec![]),
            Role::Controller => controller(&spot, now, Box::new(OsRandom), records),
        }
    });
    let sender = links.clone();
    let turn = Box::new(move || sender.give_turn());
    let driver = Driver { clock: clock.clone(), links: links.clone(), disk, build, act, turn };
    let thread = std::thread::Builder::new().name("node".into()).spawn(move || driver.run(rx));
    let thread = thread.expect("the machine must let this process start threads");
    let inbox = Mutex::new(tx.clone());
    let take = Arc::new(move |l: Envelope| drop(inbox.lock().unwrap().send(Input::Envelope(Box::new(l)))));
    tokio::spawn(links.clone().listen(links_socket, take));
    let stopping = Arc::new(AtomicBool::new(false));
    let front = Arc::new(Front {
        table: table.clone(),
        pool: pool.clone(),
        clock: clock.clone(),
        leaving: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        next: AtomicU64::new(1),
        open: AtomicU64::new(0),
        seen: Default::default(),
        clients: ClientConnections::new(clock.clone()),
        protocols: c.protocols.clone(),
    });
    super::status::admin(&c, &hand, &front, &links, (stopping.clone(), fit), admin_socket);
    if let Some(socket) = http_socket {
        let (front, clients) = (front.clone(), front.clients.clone());
        let work = Arc::new(move |order| Box::pin(front.clone().answer(order)) as Work);
        tokio::spawn(serve_clients(socket, work, clients));
    }
    if c.role == Role::Router {
        router_tasks(&table, &clock, &hand, &front, &routers);
    }
    log::info!(event = "started", address = c.addr.to_string(), admin = c.admin.to_string(), domain = c.domain.to_string(), services = services.names().join(","); "");
    tokio::spawn(super::reload::watch(origin, c.clone(), hand.clone(), signals.hang_up));
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    stopping.store(true, Ordering::SeqCst);
    let (drain, lame) = (Span::ms(c.drain_ms), Duration::from_millis(c.lame_ms));
    let stop = super::stop::Stop { role: c.role, drain, lame, front, table, clock, hand, departure };
    stop.run().await;
    let _ = tx.send(Input::Stop);
    let _ = thread.join();
    std::process::exit(0);
}

fn act(
    table: &Arc<BalancerTable>,
    clock: &Arc<dyn Clock>,
    pool: &Arc<Pool>,
    hand: &Hand,
    routers: &Arc<AtomicU64>,
    (runners, fit, departure): (&Runners, &Arc<AtomicBool>, &Arc<Mutex<Departure>>),
    (protocols, list): (&Protocols, Option<Arc<super::roster::Roster>>),
) -> super::driver::Act {
    let (table, clock, pool, hand, routers) =
        (table.clone(), clock.clone(), pool.clone(), hand.clone(), routers.clone());
    let (runners, fit, side) = (runners.clone(), fit.clone(), protocols.runner.clone());
    let departure = departure.clone();
    let rt = tokio::runtime::Handle::current();
    Box::new(move |e| match e {
        Effect::TopicUpdate { scope, at, slice, proven } => {
            table.apply_slice(clock.now(), &scope, at, slice, proven)
        }
        Effect::ServingLease { scopes, until } => table.extend_leases(clock.now(), &scopes, until),
        Effect::RunnerLeaving(name) => table.mark_leaving(clock.now(), &name),
        Effect::RouterCount(n) => routers.store(n, Ordering::SeqCst),
        Effect::PollRunners(list) => *runners.lock().unwrap() = list,
        Effect::HoldsDuty(on) => drop(list.as_ref().map(|l| l.switch(on))),
        Effect::ReadList => drop(list.as_ref().map(|l| l.read_now())),
        Effect::Holdings(rows) => table.on_holdings(clock.now(), &rows),
        Effect::QuotaGranted(grants) => table.quota.lock().unwrap().on_granted(clock.now(), &grants),
        Effect::PollRunner(name) => {
            let found = runners.lock().unwrap().iter().find(|r| r.instance == name).cloned();
            let Some(r) = found else { return };
            let (pool, hand, side) = (pool.clone(), hand.clone(), side.clone());
            rt.spawn(async move {
                let report = poll::report(&pool, &*side, &r).await;
                hand.feed(Event::RunnerReport { instance: r.instance, report });
            });
        }
        Effect::Ready(ready) => fit.store(ready, Ordering::SeqCst),
        Effect::Leaving(now) => *departure.lock().unwrap() = now,
        Effect::OrderRunner(order) => {
            let (pool, clock, hand, side) = (pool.clone(), clock.clone(), hand.clone(), side.clone());
            rt.spawn(async move {
                let status = poll::drive(&pool, &*side, clock, &order).await;
                hand.feed(Event::OrderAnswered { order: order.order, status });
            });
        }
        _ => {}
    })
}

fn router_tasks(
    table: &Arc<BalancerTable>,
    clock: &Arc<dyn Clock>,
    hand: &Hand,
    front: &Arc<Front>,
    routers: &Arc<AtomicU64>,
) {
    let inbox = Mutex::new(hand.clone());
    table.set_load_requester(Arc::new(move |want| inbox.lock().unwrap().feed(Event::NameWanted(want))));
    let inbox = Mutex::new(hand.clone());
    let asker = move |demand| inbox.lock().unwrap().feed(Event::QuotaWanted(demand));
    table.quota.lock().unwrap().set_demand_handler(Arc::new(asker));
    let seen = front.clone();
    let seen = Arc::new(move || seen.seen.rows());
    tokio::spawn(poll::tells(table.clone(), clock.clone(), seen, hand.clone()));
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

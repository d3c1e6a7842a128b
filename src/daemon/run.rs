//! The main function of routers and controllers: starts the parts of the process and connects them.

use super::assemble::{NodeSettings, controller, router};
use super::command_line::{HELP, StartMode};
use super::config::NodeConfig;
use super::disk_writer::DiskWriter;
use super::driver::Driver;
use super::effect_handler::{Runners, act};
use super::input::{Input, NodeHandle};
use super::links::Links;
use super::listener::{AnswerFuture, bind, serve_clients};
use super::logs;
use super::reload::SettingsSource;
use super::router_tasks::router_tasks;
use super::signals::Signals;
use crate::chain::leaving::Departure;
use crate::gate::BalancerTable;
use crate::http::client_connections::ClientConnections;
use crate::http::memory_account::MemoryAccount;
use crate::http::pool::Pool;
use crate::http::request_service::RequestService;
use crate::kernel::disk::LogFile;
use crate::kernel::fault::{Fault, Kind};
use crate::kernel::rand::OsRandom;
use crate::kernel::registry::Registry;
use crate::kernel::time::{BootClock, Clock, Span};
use crate::msg::*;
use error_stack::{Report, ResultExt};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

/// Runs a process of this role to its end. Returns 2 if the settings are faulty and 1 if the node could not start.
pub fn main(role: Role) -> std::process::ExitCode {
    let name = if role == Role::Router { "spindledock-router" } else { "spindledock-controller" };
    let source = SettingsSource::new(role, pico_args::Arguments::from_env());
    let config = match (source.read)() {
        Ok(StartMode::Help) => {
            println!("{name}: one node of a spindledock fleet\n\n{HELP}");
            return 0.into();
        }
        Ok(StartMode::Checked) => {
            println!("the settings are valid");
            return 0.into();
        }
        Ok(StartMode::Inspect(config)) => return super::restore::run(&config, false),
        Ok(StartMode::Restore(config)) => return super::restore::run(&config, true),
        Ok(StartMode::Run(config)) => config,
        Err(bad) => {
            for fault in &bad {
                eprintln!("{name}: {fault}");
            }
            eprintln!("{name}: {} fault(s); nothing was started", bad.len());
            return 2.into();
        }
    };
    logs::start();
    super::panics::end_process_on_panic();
    let runtime = match config.is_single_threaded {
        true => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        false => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    };
    let runtime = runtime.expect("the machine must let this process start threads");
    match runtime.block_on(run(config, source)) {
        Ok(()) => 0.into(),
        Err(e) => {
            eprintln!("{name}: {e:?}");
            1.into()
        }
    }
}

/// The settings of the node within the process.
pub fn node_settings(config: &NodeConfig) -> NodeSettings {
    NodeSettings {
        addr: config.addr,
        admin: config.admin,
        domain: config.domain.clone(),
        seeds: config.seeds.clone(),
        core_size: config.core_size,
        tolerated_failures: config.tolerated_failures,
        may_found: config.may_found,
        freshness_limit: Span::ms(config.freshness_limit_ms),
        serving_lease: Span::ms(config.serving_lease_ms),
        policy: super::assemble::Policy::Move,
        list: config.protocols.list.as_ref().map(|list| list.timing()),
        protocols: config.protocols.clone(),
        quota: config.quota,
    }
}

/// Starts all parts of the process, waits for a signal to stop, and shuts down.
async fn run(config: NodeConfig, source: SettingsSource) -> Result<(), Report<Fault>> {
    let mut signals = Signals::catch();
    let start = || Fault::new(Kind::Config, "start", "this node did not start", "fix the cause below");
    let links_socket = bind(config.addr, "address").await.change_context_lazy(start)?;
    let admin_socket = bind(config.admin, "admin").await.change_context_lazy(start)?;
    let http_socket = match config.http {
        Some(a) => Some(bind(a, "http").await.change_context_lazy(start)?),
        None => None,
    };
    let (tx, rx) = mpsc::channel();
    let file = config.data.as_ref().map(|dir| LogFile::open(dir));
    let file = file.transpose().map_err(Report::new).change_context_lazy(start)?;
    let disk = file.map(|d| DiskWriter::start(Box::new(d), tx.clone()));
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let services = Arc::new(Registry::default());
    let links = Links::new(tokio::runtime::Handle::current());
    let table = Arc::new(match config.protocols.runner.plain_services_report() {
        true => BalancerTable::new(config.domain.clone(), Span::ms(config.freshness_limit_ms)),
        false => BalancerTable::with_unpolled_plain_runners(
            config.domain.clone(),
            Span::ms(config.freshness_limit_ms),
        ),
    });
    services.add(links.clone());
    services.add(table.clone());
    let pool = Arc::new(Pool::default());
    let node = NodeHandle { tx: tx.clone() };
    let routers = Arc::new(AtomicU64::new(1));
    let runners: Runners = Arc::default();
    let is_ready = Arc::new(AtomicBool::new(false));
    let list = super::runner_list_poller::RunnerListPoller::new(
        &config.protocols,
        pool.clone(),
        node.clone(),
        clock.clone(),
    );
    let departure: Arc<Mutex<Departure>> = Arc::default();
    let flags = (&runners, &is_ready, &departure);
    let act = act(&table, &clock, &pool, &node, &routers, flags, (&config.protocols, list));
    let (settings, role, ticks) = (node_settings(&config), config.role, clock.clone());
    let build = Box::new(move |records| {
        let now = ticks.now();
        match role {
            Role::Router => (router(&settings, now, Box::new(OsRandom)), vec![]),
            Role::Controller => controller(&settings, now, Box::new(OsRandom), records),
        }
    });
    let sender = links.clone();
    let turn = Box::new(move || sender.wait_for_runtime());
    let driver = Driver { clock: clock.clone(), links: links.clone(), disk, build, act, turn };
    let thread = std::thread::Builder::new().name("node".into()).spawn(move || driver.run(rx));
    let thread = thread.expect("the machine must let this process start threads");
    let inbox = Mutex::new(tx.clone());
    let take = Arc::new(move |l: Envelope| drop(inbox.lock().unwrap().send(Input::Envelope(Box::new(l)))));
    tokio::spawn(links.clone().listen(links_socket, take));
    let stopping = Arc::new(AtomicBool::new(false));
    let front = Arc::new(RequestService {
        table: table.clone(),
        pool: pool.clone(),
        clock: clock.clone(),
        is_leaving: AtomicBool::new(false),
        is_stopping: AtomicBool::new(false),
        next_id: AtomicU64::new(1),
        unknown_routes: AtomicU64::new(0),
        open_requests: AtomicU64::new(0),
        recent: Default::default(),
        clients: ClientConnections::with_limit(clock.clone(), config.machine.client_connections()),
        memory: MemoryAccount::new(clock.clone(), config.machine.body_bytes()),
        answer_memory: MemoryAccount::new(clock.clone(), config.machine.answer_bytes()),
        protocols: config.protocols.clone(),
    });
    super::status::serve_admin_api(
        &config,
        &node,
        &front,
        &links,
        (stopping.clone(), is_ready),
        admin_socket,
    );
    if let Some(socket) = http_socket {
        let (front, clients) = (front.clone(), front.clients.clone());
        let work = Arc::new(move |order| Box::pin(front.clone().answer(order)) as AnswerFuture);
        tokio::spawn(serve_clients(socket, work, clients));
    }
    if config.role == Role::Router {
        router_tasks(&table, &clock, &node, &front, &routers);
    }
    log::info!(event = "started", address = config.addr.to_string(), admin = config.admin.to_string(), domain = config.domain.to_string(), services = services.names().join(","); "");
    tokio::spawn(super::reload::watch(source, config.clone(), node.clone(), signals.hang_up));
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
    }
    stopping.store(true, Ordering::SeqCst);
    let (drain, lame) = (Span::ms(config.drain_ms), Duration::from_millis(config.lame_ms));
    let stop = super::stop::Shutdown { role: config.role, drain, lame, front, table, clock, node, departure };
    stop.run().await;
    let _ = tx.send(Input::Stop);
    let _ = thread.join();
    std::process::exit(0);
}

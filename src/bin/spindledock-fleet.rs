use spindledock::hollow;
use spindledock::launch::deployment::by_name;
use spindledock::launch::procs::Fleet;
use spindledock::launch::trial::Trial;
use spindledock::soak::{self, SoakOptions};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

#[global_allocator]
static HEAP: hollow::heap::Counting = hollow::heap::Counting;

const HELP: &str = "\
spindledock-fleet: start a whole fleet on this machine for tests and trials
  --deployment vanua|quebec|small   (default vanua)
  --dir DIR      where its files go (default: target/fleet)
  --base PORT    first port of the block of 300 it uses (default 21000)
  --seconds N    how long stand-in callers send (default 10)
  --scale X      how much of the deployment's traffic they send (default 1.0)
  --bench N      instead: N paired calls to a plain runner, direct and through a router
  --kill NAME    kill that process halfway (c1, r2, a3 ...)
  --stay         leave the fleet up until interrupted, send nothing";

async fn run(mut args: pico_args::Arguments) -> Result<(), String> {
    let told = |e: pico_args::Error| format!("{e}; see --help");
    let name: String = args.opt_value_from_str("--deployment").map_err(told)?.unwrap_or("vanua".into());
    let mut plan =
        by_name(&name).ok_or(format!("\"{name}\" is no deployment; use vanua, quebec or small"))?;
    let dir: String = args.opt_value_from_str("--dir").map_err(told)?.unwrap_or("target/fleet".into());
    let base: u16 = args.opt_value_from_str("--base").map_err(told)?.unwrap_or(21_000);
    let seconds: u64 = args.opt_value_from_str("--seconds").map_err(told)?.unwrap_or(10);
    let scale: f64 = args.opt_value_from_str("--scale").map_err(told)?.unwrap_or(1.0);
    let kill: Option<String> = args.opt_value_from_str("--kill").map_err(told)?;
    let bench: Option<u64> = args.opt_value_from_str("--bench").map_err(told)?;
    let stay = args.contains("--stay");
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("{rest:?} is not known; see --help"));
    }
    if bench.is_some() {
        plan.plain_us = 0;
    }
    let mut t = Trial::new(Fleet::new(plan, std::path::Path::new(&dir), base)?);
    t.fleet.start_all()?;
    let core = t.fleet.controllers();
    println!("core ready after {:?}", t.ready(&core).await?);
    let all = t.fleet.routers();
    println!("routers ready after {:?}", t.ready(&all).await?);
    let sent = t.apply("r1").await?;
    println!("configuration: {} {}", sent.status, sent.body);
    let sent = t.list("c1").await?;
    println!("runner list: {} {}", sent.status, sent.body);
    let hot = t.fleet.plan.models.min(10);
    println!("{hot} models held after {:?}", t.held(hot, Duration::from_secs(90)).await?);
    if stay {
        println!("admin of r1 is {}, its callers' address {}", t.fleet.admin("r1"), t.fleet.http("r1"));
        let _ = tokio::signal::ctrl_c().await;
        return Ok(());
    }
    if let Some(n) = bench {
        println!("{}", spindledock::launch::bench::latency(&t, n).await?);
        for _ in 0..4 {
            let long = Duration::from_secs(2);
            let direct = spindledock::launch::bench::load(&t, false, 16, long).await;
            let routed = spindledock::launch::bench::load(&t, true, 16, long).await;
            println!("16 at a time: direct {direct}/s routed {routed}/s");
        }
        return Ok(());
    }
    let flows = t.flows(hot, scale);
    let (work, sum) = t.start_load(flows, Duration::from_secs(seconds));
    if let Some(name) = kill {
        tokio::time::sleep(Duration::from_secs(seconds / 2)).await;
        t.fleet.kill(&name);
        println!("killed {name}");
    }
    let _ = work.await;
    let sum = sum.lock().unwrap().clone();
    println!("{sum}");
    for w in sum.wrongs.iter().take(5) {
        println!("wrong: {w}");
    }
    Ok(())
}

fn hollow_run(nodes: &str, mut args: pico_args::Arguments) -> Result<(), String> {
    let sweep = hollow::flags::sweep(nodes, &mut args)?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("{rest:?} is not known; see --help"));
    }
    let (mut rows, mut over) = (Vec::new(), None);
    for (x, size) in sweep.sizes {
        let w = hollow::Hollow::new(size);
        hollow::flags::guard(w.doing.clone(), &w.size);
        let w = hollow::play(w, &mut |line| println!("{line}"));
        over = over.or(w.over);
        rows.push((x, w.rest));
    }
    if rows.len() > 1 {
        println!("{}", hollow::fit::table(&rows, sweep.aim));
    }
    over.map_or(Ok(()), Err)
}

/// The exit code of a call that can't be carried out as it is.
const WRONG_USAGE: u8 = 2;

fn wrong_usage(why: &str) -> std::process::ExitCode {
    eprintln!("spindledock-fleet: {why}");
    WRONG_USAGE.into()
}

/// Plays a soak for each seed; ends early, and leaves no process behind, when it is interrupted.
fn soak_all(options: &SoakOptions, args: pico_args::Arguments) -> std::process::ExitCode {
    let rest = args.finish();
    if !rest.is_empty() {
        return wrong_usage(&format!("{rest:?} is not known; see --help"));
    }
    let runtime = tokio::runtime::Runtime::new().expect("threads");
    let failed = runtime.block_on(async {
        // Caught from here on: a signal may come while the fleet is being started.
        let interrupts = Interrupts::catch();
        tokio::select! {
            failed = soak::run::soak_seeds(options) => failed,
            () = interrupts.first() => Err("interrupted; all processes were ended".to_string()),
        }
    });
    match failed {
        Ok(0) => 0.into(),
        Ok(failed) => {
            eprintln!("spindledock-fleet: {failed} seed(s) failed");
            1.into()
        }
        Err(why) => {
            eprintln!("spindledock-fleet: {why}");
            1.into()
        }
    }
}

/// The signals that end a soak early.
struct Interrupts {
    interrupt: Signal,
    terminate: Signal,
    hang_up: Signal,
}

impl Interrupts {
    fn catch() -> Interrupts {
        let catch = |kind| signal(kind).expect("signals can be caught");
        Interrupts {
            interrupt: catch(SignalKind::interrupt()),
            terminate: catch(SignalKind::terminate()),
            hang_up: catch(SignalKind::hangup()),
        }
    }

    async fn first(mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
            _ = self.hang_up.recv() => {}
        }
    }
}

fn main() -> std::process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}\n{}\n{}", soak::options::HELP, hollow::flags::HELP);
        return 0.into();
    }
    match SoakOptions::read(&mut args) {
        Ok(Some(options)) => return soak_all(&options, args),
        Ok(None) => {}
        Err(why) => return wrong_usage(&why),
    }
    if let Ok(Some(nodes)) = args.opt_value_from_str::<_, String>("--hollow") {
        return match hollow_run(&nodes, args) {
            Ok(()) => 0.into(),
            Err(why) => {
                eprintln!("spindledock-fleet: {why}");
                1.into()
            }
        };
    }
    let rt = tokio::runtime::Runtime::new().expect("threads");
    match rt.block_on(run(args)) {
        Ok(()) => 0.into(),
        Err(why) => {
            eprintln!("spindledock-fleet: {why}");
            1.into()
        }
    }
}

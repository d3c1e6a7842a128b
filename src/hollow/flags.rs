use super::doing::Doing;
use super::size::Size;
use std::time::Duration;

pub struct Sweep {
    pub sizes: Vec<(f64, Size)>,
    pub aim: f64,
}

fn list(text: &str) -> Result<Vec<u64>, String> {
    let bad = |t: &str| format!("\"{t}\" is no whole number; see --help");
    text.split(',').map(|t| t.trim().parse().map_err(|_| bad(t))).collect()
}

pub fn sweep(nodes: &str, args: &mut pico_args::Arguments) -> Result<Sweep, String> {
    let told = |e: pico_args::Error| format!("{e}; see --help");
    let aim: u64 = args.opt_value_from_str("--aim").map_err(told)?.unwrap_or(410);
    let far: u64 = args.opt_value_from_str("--aim-adapters").map_err(told)?.unwrap_or(86_000);
    let adapters: Option<String> = args.opt_value_from_str("--adapters").map_err(told)?;
    let adapters = list(&adapters.unwrap_or("86000".into()))?;
    let nodes = list(nodes)?;
    let mut sizes = Vec::new();
    for n in &nodes {
        let size = read(*n as usize, &mut args.clone())?;
        for a in &adapters {
            let x = if adapters.len() > 1 { *a } else { *n };
            sizes.push((x as f64, Size { adapters: *a as usize, ..size.clone() }));
        }
    }
    if nodes.len() > 1 && adapters.len() > 1 {
        return Err("give a list of nodes or of adapters, not both".into());
    }
    read(nodes[0] as usize, args)?;
    Ok(Sweep { sizes, aim: if adapters.len() > 1 { far as f64 } else { aim as f64 } })
}

pub const HELP: &str = "\
  --hollow N     instead: N nodes' own state machines in one process, no traffic, simulated time;
                 for each role messages, bytes, processor time, state, and how long things take.
                 N may be a list (10,30,100,300): then also slopes and what they lead to at --aim N
                 (or --adapters as a list at one N, with --aim-adapters N).
                 With it: --controllers N, --zones N, --regions N, --runners N, --models N,
                 --adapters N, --loads PER_HOUR, --seed N, --rest SECONDS, --changes N,
                 --gap SECONDS, --losses N, --replaced N, --pack MS, --zone-lost SECONDS,
                 --cut SECONDS (0 leaves that part out), --link MBIT, --wall SECONDS, --memory MB,
                 --charge PERCENT (a node has so much of a core; 0: its time is not counted)";

fn read(nodes: usize, args: &mut pico_args::Arguments) -> Result<Size, String> {
    let mut s = Size::of(nodes.clamp(6, 2000));
    let mut one = |key: &'static str, to: &mut u64| -> Result<(), String> {
        let told = |e: pico_args::Error| format!("{e}; see --help");
        if let Some(n) = args.opt_value_from_str(key).map_err(told)? {
            *to = n;
        }
        Ok(())
    };
    let rows: [(&'static str, &mut usize); 7] = [
        ("--controllers", &mut s.core),
        ("--zones", &mut s.zones),
        ("--regions", &mut s.regions),
        ("--runners", &mut s.runners),
        ("--models", &mut s.models),
        ("--losses", &mut s.losses),
        ("--replaced", &mut s.replaced),
    ];
    for (key, to) in rows {
        let mut n = *to as u64;
        one(key, &mut n)?;
        *to = n as usize;
    }
    one("--loads", &mut s.loads)?;
    one("--seed", &mut s.seed)?;
    one("--rest", &mut s.rest_s)?;
    one("--changes", &mut s.changes)?;
    one("--gap", &mut s.gap_s)?;
    one("--pack", &mut s.pack_ms)?;
    one("--zone-lost", &mut s.zone_s)?;
    one("--cut", &mut s.cut_s)?;
    one("--link", &mut s.link_mbit)?;
    one("--wall", &mut s.wall_s)?;
    one("--memory", &mut s.memory_mb)?;
    one("--charge", &mut s.share)?;
    if s.core == 0 || s.core + 1 > s.nodes || s.models == 0 || s.zones == 0 || s.regions == 0 {
        return Err("give at least one controller, router, model, zone and region".into());
    }
    Ok(s)
}

/// Ends the process when one event alone outlasts the run's time.
pub fn guard(doing: Doing, size: &Size) {
    let most = Duration::from_secs(size.wall_s);
    let mb = size.memory_mb * 5 / 4;
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(500));
            let row = doing.0.lock().unwrap().now;
            let Some((since, place, what)) = row else { continue };
            let used = super::heap::resident_mb();
            if since.elapsed() > most / 2 || used > mb {
                println!(
                    "stopped: a {what} fed to node {place} has run {:.0?}, {used} MB in use",
                    since.elapsed()
                );
                std::process::exit(3);
            }
        }
    });
}

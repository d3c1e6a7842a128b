use spindledock::daemon::assemble::Policy;
use spindledock::fleet::read::read_text;
use spindledock::launch::deployment::{Deployment, by_name};
use spindledock::sim::faults::{ALL, soak};
use spindledock::sim::report::Report;
use spindledock::sim::whatif::{Outcome, Question, ROLES, read_day, run, spreads};
use std::collections::BTreeMap;
use std::process::ExitCode;

const HELP: &str = "\
spindledock-simulator: what would happen if ...; the daemons' own state machines in virtual time
  --deployment vanua|quebec|small   (default vanua)
  --config FILE       a configuration instead of the deployment's own
  --lose-zone ZONE    a zone's machines and runners go down a quarter into the run
  --lose ROLE         head, tail, holder or home (of the assistant service in z1) dies then for 10 s
  --strike KIND       one fault then (see --kinds); may be given again
  --traffic P=X       multiply the traffic of route prefix P (or *) by X; may be given again
  --add-model NAME:MB:LOAD_MS       offer one model more; may be given again
  --day FILE          replay recorded orders: SECOND,/PREFIX,mNN,TOKENS on each line
  --policy move|queue|preempt       what a wanted model does to busy runners (default move)
  --models N          how many models traffic asks for (default 10)
  --scale X           all traffic X times as dense, in both runs, in percent (default 100)
  --long X            streams X times as long, in both runs (default 1)
  --seconds N         traffic's length (default 30)
  --seeds N           runs of each kind, for the spread (default 5)
  --soak SEED         instead: the mixed-fault soak of that seed, its record and its checkers' words
  --trace SEED        also print the what-if's record for that seed
  --cost N            instead: what N idle nodes send and spend, a node a second, over --seconds
  --kinds             list the faults
  --explore           instead: explore the agreement (--explore --help)
Each answer stands beside the same seeds without the what-if: median (least..most).";

struct Job {
    plan: Deployment,
    what: Deployment,
    base: Question,
    q: Question,
    seeds: u64,
    soak: Option<u64>,
    trace: Option<u64>,
}

fn read(mut args: pico_args::Arguments) -> Result<Job, Vec<String>> {
    let mut bad: Vec<String> = Vec::new();
    let mut many = |key: &'static str| -> Vec<String> {
        args.values_from_str(key).unwrap_or_else(|e| {
            bad.push(format!("{key}: {e}; see --help"));
            vec![]
        })
    };
    let (strikes, traffic, models) = (many("--strike"), many("--traffic"), many("--add-model"));
    let mut one = |key: &'static str| -> Option<String> {
        args.opt_value_from_str(key).unwrap_or_else(|e| {
            bad.push(format!("{key}: {e}; see --help"));
            None
        })
    };
    let (name, file, zone, day) = (one("--deployment"), one("--config"), one("--lose-zone"), one("--day"));
    let (policy, hot, seconds) = (one("--policy"), one("--models"), one("--seconds"));
    let (seeds, soak, long) = (one("--seeds"), one("--soak"), one("--long"));
    let (scale, trace, lose) = (one("--scale"), one("--trace"), one("--lose"));
    for a in args.finish() {
        bad.push(format!("{}: is not known; see --help", a.to_string_lossy()));
    }
    let name = name.unwrap_or("vanua".into());
    let mut plan = by_name(&name).unwrap_or_else(|| {
        bad.push(format!("--deployment: \"{name}\" is unknown; use vanua, quebec or small"));
        by_name("small").expect("known")
    });
    let mut num = |key: &str, text: Option<String>, dflt: u64, most: u64| match text.map(|t| t.parse::<u64>())
    {
        None => dflt,
        Some(Ok(n)) if n >= 1 && n <= most => n,
        Some(_) => {
            bad.push(format!("{key}: give a whole number from 1 to {most}"));
            dflt
        }
    };
    let hot = num("--models", hot, 10, plan.models as u64);
    let seconds = num("--seconds", seconds, 30, 3600);
    let scale = num("--scale", scale, 100, 10_000);
    let long = num("--long", long, 1, 100);
    let seeds = num("--seeds", seeds, 5, 1000);
    let trace = trace.map(|s| num("--trace", Some(s), 1, u64::MAX));
    let soak = soak.map(|s| num("--soak", Some(s), 1, u64::MAX));
    if let Some(file) = file {
        match std::fs::read_to_string(&file) {
            Err(e) => bad.push(format!("--config {file}: {e}; name a readable file")),
            Ok(text) => match read_text(&text) {
                Err(faults) => bad.extend(faults.iter().map(|f| format!("--config {file}: {f}"))),
                Ok(c) => {
                    for need in ["assistant", plan.plain_service] {
                        if c.services.iter().all(|s| s.name.0 != need) {
                            bad.push(format!("--config {file}: service \"{need}\" is missing; the deployment's traffic needs it"));
                        }
                    }
                    plan.text = Some(text);
                }
            },
        }
    }
    let base = Question {
        seconds,
        hot,
        long,
        traffic: BTreeMap::from([("*".to_string(), scale as f64 / 100.0)]),
        ..Question::default()
    };
    let (mut q, mut what) = (base.clone(), plan.clone());
    if let Some(z) = &zone
        && !(0..plan.zones).any(|n| plan.zone(n) == *z)
    {
        bad.push(format!("--lose-zone: \"{z}\" is unknown; use z1 to z{}", plan.zones));
    }
    q.lose_zone = zone;
    if let Some(role) = lose.as_ref().filter(|r| !ROLES.contains(&r.as_str())) {
        bad.push(format!("--lose: \"{role}\" is unknown; use {}", ROLES.join(", ")));
    }
    q.lose_role = lose;
    for s in strikes {
        match ALL.iter().find(|k| format!("{k:?}") == s) {
            Some(k) => q.lose.push(*k),
            None => bad.push(format!("--strike: \"{s}\" is unknown; see --kinds")),
        }
    }
    for t in traffic {
        match t.split_once('=').and_then(|(p, x)| Some((p.to_string(), x.parse::<f64>().ok()?))) {
            Some((p, x)) if (0.0..=100.0).contains(&x) => drop(q.traffic.insert(p, x)),
            _ => bad.push(format!("--traffic: \"{t}\"; write PREFIX=TIMES, times from 0 to 100")),
        }
    }
    for m in models {
        let cells: Vec<&str> = m.split(':').collect();
        let sound = matches!(cells[..], [n, mb, ms] if !n.is_empty() && mb.parse::<u64>().is_ok() && ms.parse::<u64>().is_ok());
        if !sound {
            bad.push(format!("--add-model: \"{m}\"; write NAME:MB:LOAD_MS"));
            continue;
        }
        let text = what.config();
        let text = text.replacen(
            "\"models\":[",
            &format!(
                "\"models\":[{{\"name\":\"{}\",\"weight_mb\":{},\"load_ms\":{}}},",
                cells[0], cells[1], cells[2]
            ),
            1,
        );
        let at = text.find("\"services\"").unwrap_or(0);
        let (head, tail) = text.split_at(at);
        what.text = Some(format!(
            "{head}{}",
            tail.replacen("\"models\":[", &format!("\"models\":[\"{}\",", cells[0]), 1)
        ));
        if let Err(faults) = read_text(&what.config()) {
            bad.extend(faults.iter().map(|f| format!("--add-model {m}: {f}")));
        }
    }
    if let Some(file) = day {
        match std::fs::read_to_string(&file) {
            Err(e) => bad.push(format!("--day {file}: {e}; name a readable file")),
            Ok(text) => match read_day(&text) {
                Ok(rows) => q.day = rows,
                Err(faults) => bad.extend(faults.iter().map(|f| format!("--day {file}: {f}"))),
            },
        }
    }
    match policy.as_deref() {
        None | Some("move") => {}
        Some("queue") => what.policy = Policy::Queue,
        Some("preempt") => what.policy = Policy::Preempt,
        Some(p) => bad.push(format!("--policy: \"{p}\" is unknown; use move, queue or preempt")),
    }
    if bad.is_empty() { Ok(Job { plan, what, base, q, seeds, soak, trace }) } else { Err(bad) }
}

fn all(plan: &Deployment, q: &Question, seeds: u64) -> Vec<Outcome> {
    std::thread::scope(|s| {
        let rows: Vec<_> = (1..=seeds).map(|n| s.spawn(move || run(plan, q, n))).collect();
        rows.into_iter().map(|r| r.join().expect("a run ends")).collect()
    })
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--explore") {
        return spindledock::explore::command::run(args);
    }
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return 0.into();
    }
    if let Ok(Some(nodes)) = args.opt_value_from_str::<_, usize>("--cost") {
        let seconds = args.opt_value_from_str("--seconds").ok().flatten().unwrap_or(10);
        print!("{}", spindledock::sim::cost::measure(nodes.clamp(6, 900), seconds, 1));
        return 0.into();
    }
    if args.contains("--kinds") {
        let names: Vec<String> = ALL.iter().map(|k| format!("{k:?}")).collect();
        println!("{}", names.join("\n"));
        return 0.into();
    }
    let job = match read(args) {
        Ok(job) => job,
        Err(bad) => {
            for b in &bad {
                eprintln!("spindledock-simulator: {b}");
            }
            return 2.into();
        }
    };
    if let Some(seed) = job.soak {
        let s = soak(job.plan, seed, &ALL, 12);
        for (t, f) in &s.world.record.rows {
            println!("{} {f:?}", t.0 / 1000);
        }
        println!("struck {:?}\n{}\nrecord {:016x}", s.struck, Report::of(&s.world), s.world.record.digest());
        s.bad.iter().for_each(|b| println!("objection {b}"));
        return u8::from(!s.bad.is_empty()).into();
    }
    if let Some(seed) = job.trace {
        for (t, f) in &run(&job.what, &job.q, seed).rows {
            println!("{} {f:?}", t.0 / 1000);
        }
    }
    let (before, after) = (all(&job.plan, &job.base, job.seeds), all(&job.what, &job.q, job.seeds));
    println!("{:18} {:>26} {:>26}", "", "as it is", "what if");
    for (a, b) in spreads(&before).iter().zip(spreads(&after)) {
        println!("{:18} {:>26} {:>26}", a.name, a.text(), b.text());
    }
    let bad: Vec<&String> = before.iter().chain(&after).flat_map(|o| &o.bad).collect();
    bad.iter().for_each(|b| println!("objection {b}"));
    u8::from(!bad.is_empty()).into()
}

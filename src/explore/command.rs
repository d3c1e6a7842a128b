//! The explorer's command line: `spindledock-simulator --explore`.

use super::scope::Scope;
use super::search::{Bounds, Counterexample, search};
use super::trace::{read_file, readable, replay, write_file};
use super::walk::walk_many;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const HELP: &str = "\
spindledock-simulator --explore: every order of steps of the real agreement, within bounds
  --scope NAME        change, vote, view-change, lease, join, leave, found or five (default: each in turn)
  --members N         how many controllers (3 to 5; default: the scope's own)
  --states N          stop after so many states (default 20000)
  --depth N           stop after all states of so many steps (default 40)
  --seconds N         stop after so long; what is reached then depends on the machine
  --threads N         1 to 3 (default 3); they don't change the result
  --walks N           instead: so many random walks over the same steps
  --length N          steps of a walk (default 60)
  --seed N            the first walk's seed (default 1)
  --replay FILE       instead: the steps of a trace, as the explorer wrote it
  --write FILE        write the trace that breaks an invariant there
The exit code is 1 if an invariant is broken.";

const DEFAULT_STATES: usize = 20_000;
const DEFAULT_DEPTH: usize = 40;
const DEFAULT_THREADS: usize = 3;
const DEFAULT_LENGTH: usize = 60;
const LEAST_MEMBERS: usize = 3;
const MOST_MEMBERS: usize = 5;
const USAGE: u8 = 2;
const BROKEN: u8 = 1;

struct Flags {
    scopes: Vec<Scope>,
    bounds: Bounds,
    walks: Option<u64>,
    length: usize,
    seed: u64,
    write: Option<String>,
}

/// Runs the explorer with the flags that follow `--explore`.
pub fn run(mut args: pico_args::Arguments) -> ExitCode {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match args.opt_value_from_str::<_, String>("--replay") {
        Ok(Some(file)) => return replay_file(&file),
        Ok(None) => {}
        Err(why) => return usage(&format!("--replay: {why}")),
    }
    match read_flags(args) {
        Ok(flags) => explore_all(&flags),
        Err(why) => usage(&why),
    }
}

fn usage(why: &str) -> ExitCode {
    eprintln!("spindledock-simulator: {why}; see --explore --help");
    USAGE.into()
}

fn read_flags(mut args: pico_args::Arguments) -> Result<Flags, String> {
    let name: Option<String> = option(&mut args, "--scope")?;
    let members: Option<usize> = option(&mut args, "--members")?;
    if members.is_some_and(|n| !(LEAST_MEMBERS..=MOST_MEMBERS).contains(&n)) {
        return Err(format!("--members: give a number from {LEAST_MEMBERS} to {MOST_MEMBERS}"));
    }
    let seconds: Option<u64> = option(&mut args, "--seconds")?;
    let bounds = Bounds {
        states: option(&mut args, "--states")?.unwrap_or(DEFAULT_STATES),
        depth: option(&mut args, "--depth")?.unwrap_or(DEFAULT_DEPTH),
        time: seconds.map(Duration::from_secs),
        threads: option(&mut args, "--threads")?.unwrap_or(DEFAULT_THREADS),
    };
    let flags = Flags {
        scopes: read_scopes(name, members)?,
        bounds,
        walks: option(&mut args, "--walks")?,
        length: option(&mut args, "--length")?.unwrap_or(DEFAULT_LENGTH),
        seed: option(&mut args, "--seed")?.unwrap_or(1),
        write: option(&mut args, "--write")?,
    };
    match args.finish().first() {
        Some(word) => Err(format!("{}: is not known", word.to_string_lossy())),
        None => Ok(flags),
    }
}

fn option<T: std::str::FromStr>(
    args: &mut pico_args::Arguments,
    key: &'static str,
) -> Result<Option<T>, String>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(key).map_err(|e| format!("{key}: {e}"))
}

fn read_scopes(name: Option<String>, members: Option<usize>) -> Result<Vec<Scope>, String> {
    let names: Vec<&str> = match &name {
        Some(name) => vec![name.as_str()],
        None => Scope::names().to_vec(),
    };
    let unknown = |n: &str| format!("--scope: \"{n}\" is unknown; use {}", Scope::names().join(", "));
    names.into_iter().map(|n| Scope::by_name(n, members).ok_or_else(|| unknown(n))).collect()
}

fn explore_all(flags: &Flags) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for scope in &flags.scopes {
        let example = match flags.walks {
            Some(walks) => walk_scope(scope, flags, walks),
            None => search_scope(scope, flags),
        };
        if let Some(example) = example {
            code = BROKEN.into();
            print_example(scope, &example, flags.write.as_deref());
        }
    }
    code
}

fn search_scope(scope: &Scope, flags: &Flags) -> Option<Counterexample> {
    let begun = Instant::now();
    let outcome = search(scope, flags.bounds);
    let seconds = begun.elapsed().as_secs_f64();
    println!(
        "{} of {}: {} states, {} transitions, all of depth {} (deepest {}), frontier {}, {:.0} transitions/s, {seconds:.1} s",
        scope.name,
        scope.members,
        outcome.states,
        outcome.transitions,
        outcome.full_depth,
        outcome.depth,
        outcome.frontier,
        outcome.transitions as f64 / seconds,
    );
    outcome.counterexample
}

fn walk_scope(scope: &Scope, flags: &Flags, walks: u64) -> Option<Counterexample> {
    let begun = Instant::now();
    let sum = walk_many(scope, flags.seed, walks, flags.length);
    let seconds = begun.elapsed().as_secs_f64();
    println!(
        "{} of {}: {} walks, {} steps, {} views, {} changes acknowledged, {seconds:.1} s",
        scope.name, scope.members, sum.walks, sum.steps, sum.views, sum.acknowledged,
    );
    sum.counterexample
}

fn print_example(scope: &Scope, example: &Counterexample, file: Option<&str>) {
    println!("{}", readable(scope, example));
    let text = write_file(scope, &example.trace);
    match file.map(|f| (f, std::fs::write(f, &text))) {
        Some((file, Ok(()))) => println!("written to {file}"),
        Some((file, Err(why))) => println!("{file} was not written: {why}\n{text}"),
        None => println!("to replay, put this into a file:\n{text}"),
    }
}

fn replay_file(file: &str) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(why) => return usage(&format!("--replay {file}: {why}")),
    };
    match read_file(&text) {
        Ok((scope, trace)) => {
            let (state, text) = replay(&scope, &trace);
            println!("{text}");
            u8::from(state.violation.is_some()).into()
        }
        Err(why) => usage(&format!("--replay {file}: {why}")),
    }
}

//! The command line of routers and controllers.

use super::config::{NodeConfig, read};
use crate::json::Tree;
use crate::kernel::fault::{Fault, Kind};
use crate::msg::Role;
use pico_args::Arguments;

/// The keys of the settings; each is also a flag, with `-` for `_`.
const KEYS: [&str; 15] = [
    "address",
    "admin",
    "http",
    "domain",
    "seeds",
    "core",
    "bear",
    "first",
    "data",
    "drain_ms",
    "lame_ms",
    "proof_ms",
    "lease_ms",
    "memory_mb",
    "max_descriptors",
];

/// What `--restore-as-only` must be given to confirm that all other copies are lost.
const RESTORE_CONFIRMATION: &str = "I-KNOW-THE-OTHERS-ARE-LOST";

/// The text of `--help` after the name of the program.
pub const HELP: &str = "\
Settings come from a JSON file (--config FILE), from flags, or from both; a flag wins.
  --address IP:PORT   where the fleet's own processes reach this one
  --admin IP:PORT     where operators and the platform reach it
  --http IP:PORT      where clients reach it (router only)
  --domain NAME       its zone
  --seeds A,B,C       one to three addresses of processes, its own may be among them
  --bear N            how many lost controllers are tolerated (default 1)
  --first BOOL        false once the fleet has been started before (default true)
  --core N            how many controllers found the fleet, if not 2 x bear + 1
  --data DIR          its data folder (controller only)
  --drain-ms N        how long it may finish streams after SIGTERM (default 8000)
  --lame-ms N         how long it still accepts requests after SIGTERM (default 0)
  --proof-ms N        how long a router serves after its last proof of a current state (default 2000)
  --lease-ms N        how long a router may serve while it reaches no controller (default 4500)
  --memory-mb N       the memory that this process may take (default: the machine's)
  --max-descriptors N how many descriptors it may open (default: the limit of the operating system)
  --check             check the settings, print the faults and exit
  --inspect           print what this controller's data folder holds and exit
  --restore-as-only I-KNOW-THE-OTHERS-ARE-LOST
                      make this copy the whole chain and exit; see docs/operators/machines.md
  --help              print this and exit";

/// What the command line asks for.
pub enum StartMode {
    /// Print the help.
    Help,
    /// The settings were checked and are valid.
    Checked,
    /// Print what the data folder holds.
    Inspect(NodeConfig),
    /// Make the copy in the data folder the whole chain.
    Restore(NodeConfig),
    /// Run the node.
    Run(NodeConfig),
}

/// Reads the command line and the settings file that it names; a flag overrides the file. Fails with all faults found.
pub fn from_args(role: Role, mut args: Arguments) -> Result<StartMode, Vec<Fault>> {
    if args.contains(["-h", "--help"]) {
        return Ok(StartMode::Help);
    }
    let check = args.contains("--check");
    let inspect = args.contains("--inspect");
    let confirmation =
        args.opt_value_from_str::<_, String>("--restore-as-only").unwrap_or(Some(String::new()));
    let usage = |place: &str, what: String| vec![Fault::new(Kind::Usage, place, what, "see --help")];
    let mut tree = match args.opt_value_from_str::<_, String>("--config") {
        Err(e) => return Err(usage("--config", e.to_string())),
        Ok(None) => Tree::Map(vec![]),
        Ok(Some(path)) => {
            let text = std::fs::read_to_string(&path).map_err(|e| {
                vec![Fault::new(
                    Kind::Config,
                    path.clone(),
                    e.to_string(),
                    "name a file this process can read",
                )]
            })?;
            Tree::parse(&text).map_err(|e| {
                vec![Fault::new(Kind::Config, path.clone(), e, "write one well-formed JSON object")]
            })?
        }
    };
    for key in KEYS {
        let flag = format!("--{}", key.replace('_', "-"));
        let leak: &'static str = Box::leak(flag.into_boxed_str());
        let got = args.opt_value_from_str::<_, String>(leak).map_err(|e| usage(leak, e.to_string()))?;
        let Some(got) = got else { continue };
        let value = match key {
            "seeds" => Tree::List(got.split(',').map(Tree::from).collect()),
            "core" | "bear" | "drain_ms" | "lame_ms" | "proof_ms" | "lease_ms" | "memory_mb"
            | "max_descriptors" => got.parse::<u64>().map_or(Tree::Text(got), Tree::from),
            "first" => got.parse::<bool>().map_or(Tree::Text(got), Tree::Bool),
            _ => Tree::Text(got),
        };
        if let Tree::Map(rows) = &mut tree {
            rows.retain(|r| r.0 != key);
            rows.push((key.to_string(), value));
        }
    }
    let rest = args.finish();
    let mut bad: Vec<Fault> = rest
        .iter()
        .map(|a| Fault::new(Kind::Usage, a.to_string_lossy(), "is not a known flag", "see --help"))
        .collect();
    let read = read(role, &tree);
    match read {
        Ok(_) if confirmation.as_ref().is_some_and(|w| w != RESTORE_CONFIRMATION) => {
            let what = "needs a confirmation".to_string();
            Err(vec![Fault::new(
                Kind::Usage,
                "--restore-as-only",
                what,
                format!("give {RESTORE_CONFIRMATION} if all other copies are lost"),
            )])
        }
        Ok(config) if bad.is_empty() => Ok(match (check, inspect, confirmation) {
            (true, ..) => StartMode::Checked,
            (_, true, _) => StartMode::Inspect(config),
            (_, _, Some(_)) => StartMode::Restore(config),
            _ => StartMode::Run(config),
        }),
        Ok(_) => Err(bad),
        Err(more) => {
            bad.extend(more);
            Err(bad)
        }
    }
}

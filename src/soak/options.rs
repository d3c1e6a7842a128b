//! What a soak is told on the command line.

use super::deployments;
use super::schedule::LENGTH_LEAST;
use crate::launch::deployment::Deployment;
use pico_args::Arguments;
use std::path::PathBuf;
use std::time::Duration;

/// The options of a soak, as `--help` shows them.
pub const HELP: &str = "\
  --soak SEEDS   instead: a randomized run on real processes for each seed, SEED or FROM..TO (TO is left out)
  --soak-seconds N              how long clients send (18 to 3600, default 40)
  --soak-size small|users|many  how many processes: 14, 40 or 186 (default small)
  --dir DIR      a folder for each seed; what was seen of a run that failed stays there (default target/soak)";

/// What a soak is told.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The first seed.
    pub from: u64,
    /// The seed behind the last one.
    pub to: u64,
    /// How long the clients send.
    pub length: Duration,
    /// The name of the size.
    pub size: String,
    /// The folder of all runs.
    pub dir: PathBuf,
}

fn seeds(text: &str) -> Result<(u64, u64), String> {
    let wrong = || format!("\"{text}\" names no seeds; give SEED or FROM..TO");
    let number = |text: &str| text.parse::<u64>().map_err(|_| wrong());
    let (from, to) = match text.split_once("..") {
        Some((from, to)) => (number(from)?, number(to)?),
        None => (number(text)?, number(text)?.saturating_add(1)),
    };
    if from >= to { Err(wrong()) } else { Ok((from, to)) }
}

impl SoakOptions {
    /// Reads the options; none if no soak is asked for.
    pub fn read(args: &mut Arguments) -> Result<Option<SoakOptions>, String> {
        let told = |e: pico_args::Error| format!("{e}; see --help");
        let Some(text) = args.opt_value_from_str::<_, String>("--soak").map_err(told)? else {
            return Ok(None);
        };
        let (from, to) = seeds(&text)?;
        let seconds: u64 = args.opt_value_from_str("--soak-seconds").map_err(told)?.unwrap_or(40);
        if !(LENGTH_LEAST.as_secs()..=3600).contains(&seconds) {
            return Err(format!("--soak-seconds is {seconds}; give 18 to 3600"));
        }
        let size: String = args.opt_value_from_str("--soak-size").map_err(told)?.unwrap_or("small".into());
        let dir: String = args.opt_value_from_str("--dir").map_err(told)?.unwrap_or("target/soak".into());
        let options = SoakOptions { from, to, length: Duration::from_secs(seconds), size, dir: dir.into() };
        options.deployment()?;
        Ok(Some(options))
    }

    /// The fleet of this size.
    pub fn deployment(&self) -> Result<Deployment, String> {
        match self.size.as_str() {
            "small" => Ok(deployments::small()),
            "users" => Ok(deployments::users()),
            "many" => Ok(deployments::many()),
            other => Err(format!("--soak-size is \"{other}\"; give small, users or many")),
        }
    }

    /// The command that plays a seed again.
    pub fn command(&self, seed: u64) -> String {
        let seconds = self.length.as_secs();
        format!("spindledock-fleet --soak {seed} --soak-seconds {seconds} --soak-size {}", self.size)
    }
}

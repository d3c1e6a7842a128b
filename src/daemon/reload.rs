//! Reloads the settings of a running process.

use super::command_line::{StartMode, from_args};
use super::config::NodeConfig;
use super::input::{Input, NodeHandle};
use crate::kernel::fault::Fault;
use crate::msg::Role;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;

/// How often the modification time of the settings file is checked.
const FILE_CHECK_PERIOD: Duration = Duration::from_secs(3);

/// Reads the settings; fails with all their faults.
pub type SettingsReader = Arc<dyn Fn() -> Result<StartMode, Vec<Fault>> + Send + Sync>;

/// The source of this process's settings, at the start and for each reload.
#[derive(Clone)]
pub struct SettingsSource {
    /// Reads the settings.
    pub read: SettingsReader,
    /// The settings file, if there is one.
    pub file: Option<PathBuf>,
}

impl SettingsSource {
    /// The source that the command line names: `--platform` for the platform's settings file, otherwise flags and the
    /// file of `--config`.
    pub fn new(role: Role, mut args: pico_args::Arguments) -> SettingsSource {
        if args.contains("--platform") {
            let file = crate::platform::settings::path();
            return SettingsSource {
                read: Arc::new(move || crate::platform::settings::start(role).map(StartMode::Run)),
                file,
            };
        }
        let file = args.clone().opt_value_from_str::<_, PathBuf>("--config").ok().flatten();
        SettingsSource { read: Arc::new(move || from_args(role, args.clone())), file }
    }

    fn modified_at(&self) -> Option<SystemTime> {
        std::fs::metadata(self.file.as_ref()?).and_then(|m| m.modified()).ok()
    }
}

/// Reloads the settings on SIGHUP or when the file has changed. Only changed seeds take effect; faulty settings are logged
/// and ignored.
pub async fn watch(source: SettingsSource, now: NodeConfig, node: NodeHandle, mut hang_up: Signal) {
    let mut seen = source.modified_at();
    let mut seeds = now.seeds;
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            _ = tokio::time::sleep(FILE_CHECK_PERIOD) => {
                if source.modified_at() == seen {
                    continue;
                }
            }
        }
        seen = source.modified_at();
        match (source.read)() {
            Ok(StartMode::Run(new)) => {
                if new.seeds != seeds {
                    seeds = new.seeds.clone();
                    let list: Vec<String> = seeds.iter().map(|a| a.to_string()).collect();
                    log::info!(event = "settings-taken", seeds = list.join(","); "");
                    let _ = node.tx.send(Input::Seeds(new.seeds));
                }
            }
            Ok(_) => {}
            Err(bad) => {
                for f in &bad {
                    log::warn!(event = "settings-kept", fault = f.to_string(); "");
                }
            }
        }
    }
}

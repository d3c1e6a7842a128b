use super::config::{NodeConfig, Start, from_args};
use super::input::{Hand, Input};
use crate::kernel::fault::Fault;
use crate::msg::Role;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;

const LOOK: Duration = Duration::from_secs(3);

pub type Read = Arc<dyn Fn() -> Result<Start, Vec<Fault>> + Send + Sync>;

/// Where this process's settings come from, now and whenever they are read again.
#[derive(Clone)]
pub struct Origin {
    pub read: Read,
    pub file: Option<PathBuf>,
}

impl Origin {
    pub fn new(role: Role, mut args: pico_args::Arguments) -> Origin {
        if args.contains("--platform") {
            let file = crate::platform::settings::path();
            return Origin {
                read: Arc::new(move || crate::platform::settings::start(role).map(Start::Run)),
                file,
            };
        }
        let file = args.clone().opt_value_from_str::<_, PathBuf>("--config").ok().flatten();
        Origin { read: Arc::new(move || from_args(role, args.clone())), file }
    }

    fn changed_at(&self) -> Option<SystemTime> {
        std::fs::metadata(self.file.as_ref()?).and_then(|m| m.modified()).ok()
    }
}

/// Reads the settings again on SIGHUP or when the file changed; faulty ones leave the old in force.
pub async fn watch(origin: Origin, now: NodeConfig, hand: Hand, mut hang_up: Signal) {
    let mut seen = origin.changed_at();
    let mut seeds = now.seeds;
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            _ = tokio::time::sleep(LOOK) => {
                if origin.changed_at() == seen {
                    continue;
                }
            }
        }
        seen = origin.changed_at();
        match (origin.read)() {
            Ok(Start::Run(new)) => {
                if new.seeds != seeds {
                    seeds = new.seeds.clone();
                    let list: Vec<String> = seeds.iter().map(|a| a.to_string()).collect();
                    log::info!(event = "settings-taken", seeds = list.join(","); "");
                    let _ = hand.tx.send(Input::Seeds(new.seeds));
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

//! Offline work on a controller's data folder: `--inspect` and `--restore-as-only`.

use super::config::NodeConfig;
use crate::chain::recovery::{inspect_records, restore_as_only};
use crate::kernel::disk::{Disk, LogFile};
use std::process::ExitCode;

/// Prints what the data folder holds; with `write`, also makes its copy the whole chain. Returns 0, or 1 on a fault.
pub fn run(config: &NodeConfig, write: bool) -> ExitCode {
    match inspect_or_restore(config, write) {
        Ok(text) => {
            println!("{text}");
            0.into()
        }
        Err(why) => {
            eprintln!("spindledock-controller: {why}");
            1.into()
        }
    }
}

fn inspect_or_restore(config: &NodeConfig, write: bool) -> Result<String, String> {
    let dir = config.data.as_ref().ok_or("only a controller has a data folder; run this there")?;
    let mut disk = LogFile::open(dir).map_err(|f| f.to_string())?;
    let records = disk.load().map_err(|f| f.to_string())?;
    let copy = inspect_records(&records);
    let view = copy.view.as_ref().map_or("none".to_string(), |v| v.to_string());
    let text = format!(
        "node={} fleet={} view={view} version={} configuration={}",
        copy.node, copy.fleet, copy.synced, copy.config_version
    );
    if !write {
        return Ok(text);
    }
    let rows = restore_as_only(&records).ok_or("this folder holds no view; take another copy")?;
    disk.rewrite(&rows).map_err(|f| f.to_string())?;
    Ok(format!(
        "{text}\nrestored: this copy is now the whole chain; start it, then empty machines one at a time"
    ))
}

//! Real processes on loopback with the platform's settings, and crowds of clients that do not behave.

#![allow(dead_code)]

pub mod clients;
pub mod fleet;
pub mod platform;
mod process;
pub mod runner;
mod sockets;

use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// The time limit of any wait.
pub const LONG: Duration = Duration::from_secs(60);
/// The largest body that the configuration allows to a client, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// The memory of each machine, in MB.
pub const MEMORY_MB: u64 = 128;
/// The descriptors of each machine.
pub const MAX_DESCRIPTORS: u64 = 500;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Held by a test while its processes run, so that no two such tests share the machine.
pub async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

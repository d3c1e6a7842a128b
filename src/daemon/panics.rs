//! Ends the process when a thread panics.
//!
//! A panic may leave a lock poisoned and the state behind it half changed. Whatever needs that lock would then fail while
//! the process still accepts connections. So the process ends at once: its clients see their connections close, the
//! platform restarts it, and the log names the place.
#![deny(missing_docs)]

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::Write;
use std::panic::PanicHookInfo;

/// The exit code of a process that panicked (`EX_SOFTWARE`).
pub const PANIC_EXIT: i32 = 70;

/// Installs a panic hook: from now on a panic on any thread ends the process with [`PANIC_EXIT`].
pub fn end_process_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        report(panic);
        // Not `exit`: exit handlers may wait for a lock that this thread holds.
        unsafe { libc::_exit(PANIC_EXIT) }
    }));
}

/// Writes the event to stderr directly: this thread may hold the logger's lock.
fn report(panic: &PanicHookInfo) {
    let thread = std::thread::current();
    let place = panic.location().map_or_else(|| "unknown".to_string(), |place| place.to_string());
    let message = panic.payload_as_str().unwrap_or("no text");
    let name = thread.name().unwrap_or("unnamed");
    let mut line = format!("level=ERROR event=panic thread={name:?} place={place:?} message={message:?}\n");
    let backtrace = Backtrace::capture();
    if backtrace.status() == BacktraceStatus::Captured {
        line += &backtrace.to_string();
    }
    let _ = std::io::stderr().write_all(line.as_bytes());
}

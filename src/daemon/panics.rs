//! The end of a process in which a thread panicked.
//!
//! A panic may leave a lock poisoned and the state behind it half changed. Whatever needs that lock serves nothing from
//! then on, while the process still listens. So the process ends at once: its clients see their connections end, the
//! platform starts it anew, and the log names the place.
#![deny(missing_docs)]

use std::backtrace::{Backtrace, BacktraceStatus};
use std::io::Write;
use std::panic::PanicHookInfo;

/// The exit code of a process that panicked (`EX_SOFTWARE`).
pub const PANIC_EXIT: i32 = 70;

/// From now on a panic, on whatever thread, ends the process.
pub fn end_process_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        report(panic);
        // Not `exit`: what runs at an orderly exit may wait for a lock that this thread holds.
        unsafe { libc::_exit(PANIC_EXIT) }
    }));
}

/// Writes the event past the logger, whose own lock this thread may hold.
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

//! A process in which a thread panicked ends, since it can't be relied on to serve.

use spindledock::daemon::panics;
use std::process::Command;
use std::sync::{Arc, Mutex};

const CHILD: &str = "SPINDLEDOCK_TEST_PANICS";

/// Panics on one thread while it holds a lock, and continues on another.
fn panic_under_a_lock() -> ! {
    panics::end_process_on_panic();
    let lock = Arc::new(Mutex::new(0));
    let held = lock.clone();
    let thread = std::thread::Builder::new().name("node".into());
    let work = thread.spawn(move || {
        let _held = held.lock().expect("free");
        panic!("a \"fault\"\nof two lines");
    });
    let _ = work.expect("a thread").join();
    println!("lives on: poisoned={}", lock.is_poisoned());
    std::process::exit(0);
}

// Guards against: a router survives a panic, still accepts connections and serves nothing.
#[test]
fn given_a_thread_that_panics_under_a_lock_when_the_process_could_go_on_then_it_ends_with_a_logged_event() {
    if std::env::var_os(CHILD).is_some() {
        panic_under_a_lock();
    }
    let name = "given_a_thread_that_panics_under_a_lock_when_the_process_could_go_on_then_it_ends_with_a_logged_event";
    let out = Command::new(std::env::current_exe().expect("this test"))
        .args(["--exact", name, "--nocapture"])
        .env(CHILD, "1")
        .output()
        .expect("a process");
    let (stdout, stderr) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    assert_eq!(out.status.code(), Some(panics::PANIC_EXIT), "{stdout} {stderr}");
    assert!(!stdout.contains("lives on"), "{stdout}");
    let line =
        stderr.lines().find(|l| l.contains("event=panic")).unwrap_or_else(|| panic!("no event: {stderr}"));
    for part in ["level=ERROR", "thread=\"node\"", "tests/panics.rs:", "a \\\"fault\\\"\\nof two lines"] {
        assert!(line.contains(part), "{part}: {line}");
    }
}

//! Case 1.

use crate::fleet::{Fleet, FRONT, KILL};
use crate::http::Conn;
use crate::parts::{chat, engine, send, CHAT, LIMITS};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// A stream whose third run goes on while the request still waits for a fourth runner.
pub fn hung(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    f.start(2);
    let opts = |holds: &str| {
        vec![
            ("holds", holds.to_string()),
            ("weights", "ma=72700".to_string()),
            ("load-ms", "1600".into()),
            ("events", "4".into()),
            ("gap-ms", "50".into()),
        ]
    };
    for n in 1..=7 {
        f.runner(&format!("i-llm{n}"), 50 + n, "llm", &opts("ma"));
    }
    let all = engine(&["ma"]).replace("\"CapacitySlots\":64", "\"CapacitySlots\":2");
    let route = CHAT
        .replace("\"MaxRetries\":2", "\"MaxRetries\":4")
        .replace("\"TargetLatencyMs\":400", "\"TargetLatencyMs\":2500");
    f.change("PUT", 0, &format!(r#"{{"Revision":1,"RouteMap":[{route}],"Backends":[{all}],{LIMITS}}}"#));
    f.until_ready(2);
    thread::sleep(Duration::from_secs(8));
    let (one, two) = (f.at(11, FRONT), f.at(12, FRONT));
    let ask = |front: SocketAddr, id: String, path: &str| {
        let head = chat(&id, "ma").replace("/chat/x", path);
        thread::spawn(move || {
            let Ok(mut c) = Conn::connect(front) else { return format!("{id}: no connection") };
            let got = send(&mut c, &head, b"{}", Duration::from_secs(16));
            let m = &got.message;
            let last = String::from_utf8_lossy(&m.body)
                .lines()
                .filter(|l| l.starts_with("id: "))
                .last()
                .map(|l| l.to_string());
            let (last, error) = (last.unwrap_or_default(), got.error.unwrap_or_default());
            format!("{id}: {} last event={last:?} ends as complete={} {error}", m.line, m.whole)
        })
    };
    // Requests that earn the budget for further tries.
    for n in 0..40 {
        let told = ask(one, format!("b{n:x}"), "/chat/x").join().unwrap_or_default();
        f.note(&told);
    }
    let wait = |f: &Fleet, what: &str, ms: u64| -> Option<String> {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            let log = f.runs_log();
            let rows: Vec<&str> = log.lines().filter(|l| l.contains("arrive id=f0 ")).collect();
            let n = match what {
                "first" => 1,
                "second" => 2,
                _ => 3,
            };
            if rows.len() >= n {
                return rows[n - 1].split(' ').nth(1).map(|t| t.to_string());
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    };
    let mut broken = Vec::new();
    let moved = ask(one, "f0".into(), "/chat/moved");
    let Some(first) = wait(&f, "first", 3000) else { f.fail("the request reached no runner") };
    thread::sleep(Duration::from_millis(1200));
    if f.trouble {
        f.signal(&first, KILL);
        f.reap(&first);
        let second = wait(&f, "second", 3000);
        f.note(&format!("second runner: {second:?}"));
        let third = wait(&f, "third", 3000);
        f.note(&format!("third runner: {third:?}"));
    }
    let long: Vec<_> = (0..3).map(|n| ask(one, format!("de{n}"), "/chat/long")).collect();
    let crowd: Vec<_> = (0..16).map(|n| ask(two, format!("c{n:x}"), "/chat/long")).collect();
    if f.trouble {
        // The successor of the runner that was killed starts empty, elsewhere.
        thread::sleep(Duration::from_millis(1900));
        f.list.lock().unwrap().retain(|r| r.id != first);
        f.runner("i-llm8", 58, "llm", &opts(""));
    }
    for c in crowd {
        let told = c.join().unwrap_or_default();
        f.note(&format!("edge-2 {told}"));
    }
    for l in long {
        let told = l.join().unwrap_or_default();
        f.note(&format!("edge-1 {told}"));
        if told.contains(" 200 ") && told.contains("complete=true") && !told.contains("id: 800") {
            broken.push(format!("ORDER edge-1 {told}"));
        }
    }
    f.note(&moved.join().unwrap_or_default());
    thread::sleep(Duration::from_secs(3));
    let mut unserved = 0;
    for n in 0..10 {
        let told = ask(one, format!("aa{n}"), "/chat/x").join().unwrap_or_default();
        unserved += u32::from(!told.contains(" 200 "));
        f.note(&format!("edge-1 {told}"));
        let told = ask(two, format!("ab{n}"), "/chat/x").join().unwrap_or_default();
        f.note(&format!("edge-2 {told}"));
        thread::sleep(Duration::from_millis(300));
    }
    let runs = f.runs("edge-1");
    f.note(&format!("edge-1 runs: {runs}"));
    let log = std::fs::read_to_string(f.dir.join("edge-1.log")).unwrap_or_default();
    for row in log.lines().filter(|l| l.contains("panicked") || l.contains("reactor")) {
        f.note(&format!("edge-1 wrote: {row}"));
    }
    f.note(&format!("{unserved} of the last 10 requests were not served by edge-1"));
    f.finish(&broken)
}

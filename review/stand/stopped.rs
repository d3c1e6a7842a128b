//! No case: see REPORT.md.

use crate::fleet::{Fleet, FRONT, TERM};
use crate::http::Conn;
use crate::parts::{link, send, LIMITS};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: u8 = 12;
/// Clients of one router, whose answers differ a little in length.
const CLIENTS: usize = 12;
/// What the link of a client carries, in bytes a second.
const PER_S: usize = 150_000;
const LEAST: usize = 1_050_000;
const STEP: usize = 2_000;

/// Answers on their way to clients with slow links, while routers are told to stop one after the other.
pub fn stopped(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    f.start(ROUTERS);
    f.runner("i-doc1", 151, "docs", &[("bytes", "path".to_string())]);
    let route = r#"{"Name":"r-doc","Vhost":"docs.example","PathPrefix":"/doc/","RouteType":"non_idempotent","TimeoutMs":15000,"TargetLatencyMs":300,"Priority":1,"Backend":"docs","MaxRetries":1}"#;
    let docs = r#"{"Name":"docs","HealthCheck":"/health","MaxConnections":360,"Protocol":"h1","Tls":false}"#;
    f.change("PUT", 0, &format!(r#"{{"Revision":1,"RouteMap":[{route}],"Backends":[{docs}],{LIMITS}}}"#));
    f.until_ready(ROUTERS);
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    let mut stops = Vec::new();
    for n in 1..=ROUTERS {
        let through = f.at(100 + n, FRONT);
        link(through, f.at(10 + n, FRONT), Some((Duration::from_secs(60), PER_S)));
        for k in 0..CLIENTS {
            let bytes = LEAST + STEP * (CLIENTS * (n as usize - 1) + k);
            clients.push(thread::spawn(move || {
            let mut c = Conn::connect(through).expect("the link listens");
            let head = format!(
                "POST /doc/{bytes} HTTP/1.1\r\nHost: docs.example\r\nX-Request-Id: aa{n:02x}{k}\r\nX-Deadline-Ms: 15000\r\n"
            );
            let began = Instant::now();
            (n, k, bytes, send(&mut c, &head, b"{}", Duration::from_secs(16)), began.elapsed())
        }));
        }
        thread::sleep(Duration::from_millis(300));
        if f.trouble {
            f.signal(&format!("edge-{n}"), TERM);
        }
        stops.push(Instant::now());
        thread::sleep(Duration::from_millis(700));
    }
    let mut ended = vec![None; ROUTERS as usize];
    while f.trouble && ended.contains(&None) && stops[ROUTERS as usize - 1].elapsed() < Duration::from_secs(9)
    {
        for n in 1..=ROUTERS {
            let at = n as usize - 1;
            if ended[at].is_none() && !f.runs(&format!("edge-{n}")) {
                ended[at] = Some(stops[at].elapsed());
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let mut broken = Vec::new();
    for client in clients {
        let (n, k, bytes, got, took) = client.join().expect("a client");
        let m = &got.message;
        let text = format!(
            "aa{n:02x}{k} at edge-{n}: {} body={} of {bytes}, whole={} after {} ms; the process ended {:?} after SIGTERM {}",
            m.line,
            m.body.len(),
            m.whole,
            took.as_millis(),
            ended[n as usize - 1],
            got.error.unwrap_or_default()
        );
        f.note(&text);
        // The rule holds from SIGTERM until a second after `GraceS`, which is 8 s.
        let beside = took < Duration::from_millis(300 + 9000);
        if beside && !(m.whole && m.body.len() == bytes) {
            broken.push(format!("LOST {text}"));
        }
    }
    f.finish(&broken)
}

//! Case 2.

use crate::fleet::{Fleet, FRONT};
use crate::http::Conn;
use crate::parts::{link, send, LIMITS};
use std::thread;
use std::time::Duration;

/// Answers that a route's time cuts off while their clients do not read.
pub fn truncated(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    let bytes: usize = std::env::var("BYTES").ok().and_then(|t| t.parse().ok()).unwrap_or(1_000_000);
    f.start(1);
    f.runner("i-doc1", 51, "docs", &[("bytes", bytes.to_string())]);
    let config = format!(
        r#"{{"Revision":1,"RouteMap":[{{"Name":"r-doc","Vhost":"docs.example","PathPrefix":"/doc/","RouteType":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":1,"Backend":"docs","MaxRetries":1}}],"Backends":[{{"Name":"docs","HealthCheck":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}}],{LIMITS}}}"#
    );
    f.change("PUT", 0, &config);
    f.until_ready(1);
    thread::sleep(Duration::from_secs(2));
    // The client reads nothing for 5 s after the first bytes of its answer.
    let squeezed = f.trouble.then_some((Duration::from_secs(5), 1));
    let through = f.at(90, FRONT);
    link(through, f.at(11, FRONT), squeezed);
    let mut broken = Vec::new();
    let clients: Vec<_> = (0..4)
        .map(|n| {
            thread::spawn(move || {
                let mut c = Conn::connect(through).expect("the link listens");
                let head = format!(
                    "POST /doc/{n} HTTP/1.1\r\nHost: docs.example\r\nX-Request-Id: aa0{n}\r\nX-Deadline-Ms: 15000\r\n"
                );
                (n, send(&mut c, &head, b"{}", Duration::from_secs(16)))
            })
        })
        .collect();
    for client in clients {
        let (n, got) = client.join().expect("a client");
        let m = &got.message;
        let text = format!(
            "aa0{n}: {} seal={} framing={} body={} of {bytes}, ends as complete={} {}",
            m.line,
            m.head("x-server-seal"),
            m.head("transfer-encoding"),
            m.body.len(),
            m.whole,
            got.error.unwrap_or_default()
        );
        f.note(&text);
        if m.status() == 200 && m.whole && m.body.len() != bytes {
            broken.push(format!("MIXED {text}"));
        }
    }
    f.finish(&broken)
}

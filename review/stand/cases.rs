//! The cases.

use crate::fleet::{Fleet, FRONT, KILL};
use crate::http::{connect_far, Conn, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const LIMITS: &str = r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(a) => a,
        SocketAddr::V6(_) => unreachable!("all addresses are of version 4"),
    }
}

/// What a client got for its request.
struct Got {
    message: Message,
    /// The error that ended the reading, if one did.
    error: Option<String>,
}

fn send(c: &mut Conn, head: &str, body: &[u8], wait: Duration) -> Got {
    let _ = c.tcp.set_read_timeout(Some(wait));
    let text = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    let work = c.write(text.as_bytes()).and_then(|_| c.write(body)).and_then(|_| c.read_head());
    match work {
        Ok(Some(mut message)) => {
            let error = c.read_body(&mut message, true).err().map(|e| e.to_string());
            Got { message, error }
        }
        Ok(None) => Got { message: Message::default(), error: Some("closed without an answer".into()) },
        Err(e) => Got { message: Message::default(), error: Some(e.to_string()) },
    }
}

/// A link between a client and a router. While it is squeezed only a few bytes a second come through.
fn link(listen: SocketAddr, to: SocketAddr, squeezed: Option<(Duration, usize)>) {
    let socket = TcpListener::bind(listen).expect("a free address");
    thread::spawn(move || {
        for client in socket.incoming().flatten() {
            let Ok(router) = connect_far(v4(to), 1460, 16384) else { continue };
            let (mut up_in, mut up_out) = (client.try_clone().expect("a socket"), router.try_clone().expect("a socket"));
            thread::spawn(move || {
                let _ = std::io::copy(&mut up_in, &mut up_out);
                let _ = up_out.shutdown(std::net::Shutdown::Write);
            });
            thread::spawn(move || down(router, client, squeezed));
        }
    });
}

fn down(mut router: TcpStream, mut client: TcpStream, squeezed: Option<(Duration, usize)>) {
    let began = Instant::now();
    let mut part = [0u8; 1460];
    loop {
        let n = match router.read(&mut part) {
            Ok(0) => {
                let _ = client.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(n) => n,
            Err(_) => {
                // A reset goes on as one, as far as a close with bytes unread does.
                let _ = client.shutdown(std::net::Shutdown::Both);
                return;
            }
        };
        if client.write_all(&part[..n]).is_err() {
            return;
        }
        if let Some((length, per_s)) = squeezed.filter(|s| began.elapsed() < s.0) {
            let wait = Duration::from_secs_f64(n as f64 / per_s as f64);
            thread::sleep(wait.min(length.saturating_sub(began.elapsed())));
        }
    }
}

/// Answers that a route's time cuts off on a squeezed link.
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
    let squeezed = f.trouble.then_some((Duration::from_secs(5), 20_000));
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

fn engine(models: &[&str]) -> String {
    let rows: Vec<String> = models
        .iter()
        .map(|m| format!(r#"{{"Name":"{m}","WeightsMb":72700.0,"LoadTimeS":1.6,"Adapters":2,"AdapterSizeMb":66.0}}"#))
        .collect();
    format!(
        r#"{{"Name":"llm","HealthCheck":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{{"CapacitySlots":64,"KvCapacity":135472,"KvTokenBytes":163840,"LinkMbps":1500000.0,"Stride":5,"Models":[{}],"WeightsMb":230000.0,"AdapterCapacity":8,"LoadRateS":3.6}}}}"#,
        rows.join(",")
    )
}

const CHAT: &str = r#"{"Name":"r-chat","Vhost":"llm.example","PathPrefix":"/chat/","RouteType":"streaming","TimeoutMs":15000,"TargetLatencyMs":400,"Priority":1,"Backend":"llm","MaxRetries":2,"SessionAffinity":true,"Resumable":true,"TargetGapMs":300}"#;

fn chat(id: &str, model: &str) -> String {
    format!(
        "POST /chat/x HTTP/1.1\r\nHost: llm.example\r\nX-Request-Id: {id}\r\nX-Model: {model}\r\nX-Token-Count: 600,200\r\nX-Prompt-Prefix: {id}:600\r\nX-Deadline-Ms: 15000\r\n"
    )
}

/// A model that the operator withdraws from a service while runners hold it.
pub fn withdrawn(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    f.start(1);
    let weights = "ma=72700,mb=72700,mc=72700,md=72700".to_string();
    for (n, host) in [(1, 51), (2, 52)] {
        let opts = [
            ("holds", "ma,mb,mc".to_string()),
            ("weights", weights.clone()),
            ("room", "230000".into()),
            ("load-ms", "1600".into()),
            ("events", "10".into()),
        ];
        f.runner(&format!("i-llm{n}"), host, "llm", &opts);
    }
    let all = engine(&["ma", "mb", "mc", "md"]);
    f.change("PUT", 0, &format!(r#"{{"Revision":1,"RouteMap":[{CHAT}],"Backends":[{all}],{LIMITS}}}"#));
    f.until_ready(1);
    thread::sleep(Duration::from_secs(8));
    let front = f.at(11, FRONT);
    let ask = |id: &str, model: &str| {
        let Ok(mut c) = Conn::connect(front) else { return "no connection".to_string() };
        let got = send(&mut c, &chat(id, model), b"{}", Duration::from_secs(16));
        format!("{id} {model}: {} body={} whole={}", got.message.line, got.message.body.len(), got.message.whole)
    };
    for n in 0..6 {
        let model = ["ma", "mb"][n % 2];
        f.note(&ask(&format!("b{n}"), model));
    }
    if f.trouble {
        f.change("PATCH", 1, &format!(r#"{{"Revision":2,"Upsert":{{"Backends":[{}]}}}}"#, engine(&["ma", "mb", "md"])));
        thread::sleep(Duration::from_secs(5));
    }
    // Clients retry what was refused, as they do.
    for n in 0..6 {
        let told = ask(&format!("c{n}"), "md");
        f.note(&told);
        if told.contains(" 200 ") {
            break;
        }
        thread::sleep(Duration::from_millis(1500));
    }
    thread::sleep(Duration::from_secs(2));
    let log = f.runs_log();
    let over: Vec<String> = log.lines().filter(|l| l.contains(" OVER ")).map(|l| format!("LIMIT {l}")).collect();
    f.finish(&over)
}

/// A stream without a length whose runner is killed in the middle of an event.
pub fn unframed(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    f.start(1);
    for (n, host) in [(1, 51), (2, 52)] {
        let opts = [
            ("holds", "ma".to_string()),
            ("weights", "ma=72700".into()),
            ("framing", "close".into()),
            ("events", "40".into()),
            ("gap-ms", "20".into()),
            ("inner-ms", "60".into()),
        ];
        f.runner(&format!("i-llm{n}"), host, "llm", &opts);
    }
    let all = engine(&["ma"]);
    f.change("PUT", 0, &format!(r#"{{"Revision":1,"RouteMap":[{CHAT}],"Backends":[{all}],{LIMITS}}}"#));
    f.until_ready(1);
    thread::sleep(Duration::from_secs(8));
    let front = f.at(11, FRONT);
    let mut broken = Vec::new();
    // Calls with nothing wrong, which also earn the budget for further tries.
    let calm: Vec<_> = (0..12)
        .map(|n| {
            thread::spawn(move || {
                let mut c = Conn::connect(front).expect("the router listens");
                send(&mut c, &chat(&format!("d{n:x}"), "ma"), b"{}", Duration::from_secs(16))
            })
        })
        .collect();
    for (n, client) in calm.into_iter().enumerate() {
        let got = client.join().expect("a client");
        f.note(&judge(&format!("d{n:x}"), &got, &mut broken));
    }
    let client = thread::spawn(move || {
        let mut c = Conn::connect(front).expect("the router listens");
        send(&mut c, &chat("e0", "ma"), b"{}", Duration::from_secs(16))
    });
    // The kill falls between the two halves of an event, as the runner's log shows it.
    thread::sleep(Duration::from_millis(1500));
    if f.trouble {
        let log = f.runs_log();
        let row = log.lines().find(|l| l.contains("run id=e0")).unwrap_or("").to_string();
        let name = if row.contains("i-llm1") { "i-llm1" } else { "i-llm2" };
        f.signal(name, KILL);
        f.reap(name);
    }
    let got = client.join().expect("a client");
    f.note(&judge("e0", &got, &mut broken));
    f.note(&format!("the end of e0: {:?}", String::from_utf8_lossy(&got.message.body[got.message.body.len().saturating_sub(60)..])));
    f.finish(&broken)
}

fn judge(id: &str, got: &Got, broken: &mut Vec<String>) -> String {
    let body = String::from_utf8_lossy(&got.message.body).into_owned();
    let ids: Vec<u64> = body.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
    let text = format!("{id}: {} events={} ends as complete={}", got.message.line, ids.len(), got.message.whole);
    if got.message.status() == 200 && got.message.whole && ids != (1..=40).map(|n| n * 5).collect::<Vec<u64>>() {
        broken.push(format!("ORDER {text}"));
    }
    text
}

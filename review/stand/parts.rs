//! What the cases share: clients, the links to them, and the configuration.

use crate::http::{connect_far, Conn, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

pub const LIMITS: &str = r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(a) => a,
        SocketAddr::V6(_) => unreachable!("all addresses are of version 4"),
    }
}

/// What a client got for its request.
pub struct Got {
    pub message: Message,
    /// The error that ended the reading, if one did.
    pub error: Option<String>,
}

/// Sends a request and reads its answer.
pub fn send(c: &mut Conn, head: &str, body: &[u8], wait: Duration) -> Got {
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

/// A link between a client and a router. For the time given only so many bytes a second come through it.
pub fn link(listen: SocketAddr, to: SocketAddr, squeezed: Option<(Duration, usize)>) {
    let socket = TcpListener::bind(listen).expect("a free address");
    thread::spawn(move || {
        for client in socket.incoming().flatten() {
            let Ok(router) = connect_far(v4(to), 1460, 16384) else { continue };
            let (mut up_in, mut up_out) =
                (client.try_clone().expect("a socket"), router.try_clone().expect("a socket"));
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

/// The service of model runners, which offers `models`.
pub fn engine(models: &[&str]) -> String {
    let rows: Vec<String> = models
        .iter()
        .map(|m| {
            format!(
                r#"{{"Name":"{m}","WeightsMb":72700.0,"LoadTimeS":1.6,"Adapters":2,"AdapterSizeMb":66.0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"Name":"llm","HealthCheck":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{{"CapacitySlots":64,"KvCapacity":135472,"KvTokenBytes":163840,"LinkMbps":1500000.0,"Stride":5,"Models":[{}],"WeightsMb":230000.0,"AdapterCapacity":8,"LoadRateS":3.6}}}}"#,
        rows.join(",")
    )
}

pub const CHAT: &str = r#"{"Name":"r-chat","Vhost":"llm.example","PathPrefix":"/chat/","RouteType":"streaming","TimeoutMs":15000,"TargetLatencyMs":400,"Priority":1,"Backend":"llm","MaxRetries":2,"SessionAffinity":true,"Resumable":true,"TargetGapMs":300}"#;

/// The head of a chat request.
pub fn chat(id: &str, model: &str) -> String {
    format!(
        "POST /chat/x HTTP/1.1\r\nHost: llm.example\r\nX-Request-Id: {id}\r\nX-Model: {model}\r\nX-Token-Count: 600,200\r\nX-Prompt-Prefix: {id}:600\r\nX-Deadline-Ms: 15000\r\n"
    )
}

//! A stand-in for a runner, as a process of its own. It keeps the users' pages: it turns away what names another
//! runner or a model that it lacks, works on one request at a time on a connection, and says what it runs.
//!
//! Every line of its log begins with the milliseconds of the system's steady clock.

use crate::http::{Conn, Message};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Runner {
    id: String,
    opts: BTreeMap<String, String>,
    log: Mutex<File>,
    held: Mutex<Held>,
    active: AtomicU64,
    seals: AtomicU64,
}

#[derive(Default)]
struct Held {
    /// Models and their adapters.
    models: BTreeMap<String, Vec<String>>,
    weights: BTreeMap<String, f64>,
    sequence: u64,
    under_way: bool,
}

pub fn now_ms() -> u64 {
    let up = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let s: f64 = up.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0.0);
    (s * 1000.0) as u64
}

/// The text value of a key of flat JSON.
fn text(body: &str, key: &str) -> Option<String> {
    let at = body.find(&format!("\"{key}\""))?;
    let rest = body[at..].split_once(':')?.1.trim_start();
    let rest = rest.strip_prefix('"')?;
    Some(rest.split('"').next()?.to_string())
}

/// The whole number of a key of flat JSON.
fn number(body: &str, key: &str) -> Option<u64> {
    let at = body.find(&format!("\"{key}\""))?;
    let rest = body[at..].split_once(':')?.1.trim_start();
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

pub fn main(opts: BTreeMap<String, String>) {
    let addr: SocketAddr = opts["addr"].parse().expect("--addr IP:PORT");
    let log = File::options().create(true).append(true).open(&opts["log"]).expect("--log FILE");
    let mut held = Held::default();
    for row in opts.get("weights").map_or("", |t| t.as_str()).split(',').filter(|t| !t.is_empty()) {
        let (name, mb) = row.split_once('=').expect("NAME=MB");
        held.weights.insert(name.to_string(), mb.parse().expect("MB"));
    }
    for name in opts.get("holds").map_or("", |t| t.as_str()).split(',').filter(|t| !t.is_empty()) {
        held.models.insert(name.to_string(), Vec::new());
    }
    let runner = Arc::new(Runner {
        id: opts["id"].clone(),
        opts,
        log: Mutex::new(log),
        held: Mutex::new(held),
        active: AtomicU64::new(0),
        seals: AtomicU64::new(0),
    });
    let socket = TcpListener::bind(addr).expect("a free address");
    runner.note("start");
    for tcp in socket.incoming().flatten() {
        let runner = runner.clone();
        thread::spawn(move || runner.serve(Conn::new(tcp)));
    }
}

impl Runner {
    fn opt(&self, key: &str, other: u64) -> u64 {
        self.opts.get(key).and_then(|t| t.parse().ok()).unwrap_or(other)
    }

    fn note(&self, line: &str) {
        let row = format!("{} {} {line}\n", now_ms(), self.id);
        let _ = self.log.lock().unwrap().write_all(row.as_bytes());
    }

    fn serve(self: Arc<Runner>, mut c: Conn) {
        while let Ok(Some(m)) = c.request() {
            if !self.answer(&mut c, &m) {
                return;
            }
        }
    }

    fn say(&self, c: &mut Conn, m: &Message, status: u16, more: &str, body: &str) -> bool {
        let id = if m.has("x-request-id") {
            format!("X-Request-Id: {}\r\n", m.head("x-request-id"))
        } else {
            String::new()
        };
        let n = body.len();
        c.write(format!("HTTP/1.1 {status} X\r\n{id}{more}Content-Length: {n}\r\n\r\n{body}").as_bytes())
            .is_ok()
    }

    fn answer(self: &Arc<Runner>, c: &mut Conn, m: &Message) -> bool {
        let target = m.head("x-target-instance");
        if m.method() == "GET" && m.path() == "/health" {
            return self.say(c, m, 200, &format!("X-Instance-Id: {}\r\n", self.id), "");
        }
        if !target.is_empty() && target != self.id {
            return self.say(c, m, 421, "X-Not-Executed: 1\r\n", "");
        }
        if m.path() == "/spindledock/report" {
            let json = "Content-Type: application/json\r\n";
            return self.say(c, m, 200, json, &self.report());
        }
        if m.path() == "/spindledock/order" {
            let status = self.order(&String::from_utf8_lossy(&m.body));
            return self.say(c, m, status, "", "");
        }
        if !m.has("x-request-id") {
            return self.say(c, m, 400, "X-Not-Executed: 1\r\n", "");
        }
        self.run(c, m)
    }

    fn report(&self) -> String {
        let held = self.held.lock().unwrap();
        let row = |(name, adapters): (&String, &Vec<String>)| {
            let adapters: Vec<String> = adapters.iter().map(|a| format!("\"{a}\"")).collect();
            format!("{{\"Name\":\"{name}\",\"Revision\":1,\"Adapters\":[{}]}}", adapters.join(","))
        };
        let models: Vec<String> = held.models.iter().map(row).collect();
        let (busy, sequence) = (held.under_way, held.sequence);
        let active = self.active.load(Ordering::SeqCst);
        format!(
            "{{\"Phase\":\"colocated\",\"Models\":[{}],\"Utilization\":{busy},\"Sequence\":{sequence},\"Queued\":0,\
             \"Active\":{active},\"KvInUse\":0,\"KvPoolSize\":135472,\"LoadedSet\":0}}",
            models.join(",")
        )
    }

    fn order(self: &Arc<Runner>, body: &str) -> u16 {
        let (Some(what), Some(model)) = (text(body, "Opcode"), text(body, "Model")) else { return 400 };
        let adapter = text(body, "Adapter");
        let mut held = self.held.lock().unwrap();
        let (count, fence) = (number(body, "ExpectedCount"), number(body, "FenceToken"));
        if count.is_some_and(|n| n != held.sequence) || held.under_way {
            self.note(&format!("order-409 {what} {model} expected={count:?} sequence={}", held.sequence));
            return 409;
        }
        let there = match &adapter {
            None => held.models.contains_key(&model),
            Some(a) => held.models.get(&model).is_some_and(|rows| rows.contains(a)),
        };
        if there == (what == "install") {
            self.note(&format!("order-200 {what} {model} {adapter:?}"));
            return 200;
        }
        let used: f64 = held.models.keys().filter_map(|m| held.weights.get(m)).sum();
        let places: usize = held.models.values().map(|a| a.len()).sum();
        let mb = held.weights.get(&model).copied().unwrap_or(0.0);
        let names: Vec<&str> = held.models.keys().map(|m| m.as_str()).collect();
        let list = names.join("+");
        self.note(&format!("order {what} model={model} adapter={adapter:?} fence={fence:?} holds={list} mb={used} places={places}"));
        if what == "install" {
            let over = match &adapter {
                None => used + mb > self.opt("room", 230_000) as f64,
                Some(_) => places as u64 >= self.opt("places", 8),
            };
            if over {
                self.note(&format!(
                    "OVER install model={model} adapter={adapter:?} holds={list} mb={used} places={places}"
                ));
                // An order that makes a runner load over its room makes it fall.
                std::process::exit(3);
            }
        }
        held.sequence += 1;
        held.under_way = true;
        let (me, load) = (self.clone(), what == "install");
        let ms = if load && adapter.is_none() { self.opt("load-ms", 1500) } else { 10 };
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(ms));
            let mut held = me.held.lock().unwrap();
            held.under_way = false;
            match (load, adapter) {
                (true, None) => drop(held.models.insert(model.clone(), Vec::new())),
                (false, None) => drop(held.models.remove(&model)),
                (true, Some(a)) => drop(held.models.get_mut(&model).map(|rows| rows.push(a))),
                (false, Some(a)) => drop(held.models.get_mut(&model).map(|rows| rows.retain(|x| *x != a))),
            }
            me.note(&format!("done load={load} {model}"));
        });
        202
    }

    fn run(&self, c: &mut Conn, m: &Message) -> bool {
        let id = m.head("x-request-id");
        let model = m.head("x-model");
        if !model.is_empty() {
            let held = self.held.lock().unwrap();
            let (name, adapter) =
                model.split_once('/').map_or((model, None), |(m, a)| (m, Some(a.to_string())));
            let fit =
                held.models.get(name).is_some_and(|rows| adapter.as_ref().is_none_or(|a| rows.contains(a)));
            if !fit {
                drop(held);
                self.note(&format!("not-here id={id} model={model}"));
                return self.say(c, m, 421, "X-Not-Executed: 1\r\n", "");
            }
        }
        let after = m.head("last-event-id").to_string();
        if m.path().ends_with("/moved") {
            let done = self.moved(c, m, id, &after);
            self.note(&format!("end id={id} written={}", done.is_ok()));
            return done.unwrap_or(false);
        }
        self.note(&format!("run id={id} {} body={} last={after}", m.line, m.body.len()));
        self.active.fetch_add(1, Ordering::SeqCst);
        let seal = format!("{}.{:x}", self.id, self.seals.fetch_add(1, Ordering::SeqCst));
        let head = format!("X-Request-Id: {id}\r\nX-Server-Seal: {seal}\r\nX-Weight-Versions: 1\r\n");
        let done = if model.is_empty() {
            self.plain(c, &head, m.path())
        } else {
            self.stream(c, &head, &after, m.path().ends_with("/long"))
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        self.note(&format!("end id={id} written={}", done.is_ok()));
        done.unwrap_or(false)
    }

    /// The request of the case `hung`. The runner that gets it first gives some events and is then killed. The one that
    /// gets it next is slow, and turns it away after `--late-ms`, as full. The third is crowded: its first event comes
    /// after `--crowded-ms`.
    fn moved(&self, c: &mut Conn, m: &Message, id: &str, after: &str) -> std::io::Result<bool> {
        let log = std::fs::read_to_string(&self.opts["log"]).unwrap_or_default();
        let before = log.lines().filter(|l| l.contains(&format!("arrive id={id} "))).count();
        self.note(&format!("arrive id={id} last={after}"));
        self.active.fetch_add(1, Ordering::SeqCst);
        let head =
            format!("X-Request-Id: {id}\r\nX-Server-Seal: {}.{before}\r\nX-Weight-Versions: 1\r\n", self.id);
        let done = match before {
            0 => self.events(c, &head, after, 50, 400),
            1 => {
                thread::sleep(Duration::from_millis(self.opt("late-ms", 3500)));
                self.note(&format!("turned-away id={id}"));
                Ok(self.say(c, m, 503, "X-Not-Executed: 1\r\n", ""))
            }
            _ => {
                self.note(&format!("run id={id} last={after}"));
                self.events(c, &head, after, self.opt("crowded-ms", 2500), 20)
            }
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn events(&self, c: &mut Conn, head: &str, after: &str, first: u64, gap: u64) -> std::io::Result<bool> {
        c.write(format!("HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        thread::sleep(Duration::from_millis(first));
        let from = after.parse::<u64>().unwrap_or(0) / 5;
        for n in from + 1..=15 {
            let text = format!("id: {}\ndata: piece {n} of 15 by {}\n\n", n * 5, self.id);
            c.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(gap));
        }
        c.write(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// An answer in chunks, of `--bytes` bytes, written as fast as it is taken.
    fn plain(&self, c: &mut Conn, head: &str, path: &str) -> std::io::Result<bool> {
        thread::sleep(Duration::from_millis(self.opt("work-ms", 20)));
        let named = path
            .rsplit('/')
            .next()
            .and_then(|t| t.parse().ok())
            .filter(|_| self.opts.get("bytes").is_some_and(|t| t == "path"));
        let (total, part) = (named.unwrap_or(self.opt("bytes", 800) as usize), 4096);
        c.write(format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        let mut sent = 0;
        while sent < total {
            let n = part.min(total - sent);
            let mut row = format!("{n:x}\r\n").into_bytes();
            row.extend((sent..sent + n).map(|k| b'a' + (k / 7 % 26) as u8));
            row.extend(b"\r\n");
            c.write(&row)?;
            sent += n;
        }
        c.write(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// A stream of `--events` events whose ids rise by `--stride`. With `--framing close` it has no length and ends
    /// with its connection.
    fn stream(&self, c: &mut Conn, head: &str, after: &str, long: bool) -> std::io::Result<bool> {
        let close = self.opts.get("framing").is_some_and(|t| t == "close");
        let framing = if close { "Connection: close" } else { "Transfer-Encoding: chunked" };
        thread::sleep(Duration::from_millis(self.opt("first-ms", 50)));
        c.write(
            format!("HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n")
                .as_bytes(),
        )?;
        let (mut events, stride) = (self.opt("events", 40), self.opt("stride", 5));
        if long {
            events = self.opt("long-events", 160);
        }
        let from = after.parse::<u64>().unwrap_or(0) / stride;
        for n in from + 1..=events {
            thread::sleep(Duration::from_millis(self.opt("gap-ms", 50)));
            let text = format!("id: {}\ndata: piece {n} of {events} by {}\n\n", n * stride, self.id);
            // An event leaves in two writes, as a long one does on a network.
            let (one, two) = text.split_at(text.len() / 2);
            for part in [one, two] {
                if close {
                    c.write(part.as_bytes())?;
                } else {
                    c.write(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())?;
                }
                thread::sleep(Duration::from_millis(self.opt("inner-ms", 0)));
            }
        }
        if !close {
            c.write(b"0\r\n\r\n")?;
        }
        Ok(!close)
    }
}

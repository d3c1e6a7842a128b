//! Stand-ins for the platform, runners, clients and the operator, and a starter for the project's own programs.
//! Uses only the standard library. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn getrlimit(what: i32, limit: *mut [u64; 2]) -> i32;
    fn setrlimit(what: i32, limit: *const [u64; 2]) -> i32;
}

/// Raises the soft limit on descriptors to the hard one, for this process and those that it starts; returns it.
pub fn raise_descriptors() -> u64 {
    const RLIMIT_NOFILE: i32 = 7;
    let mut limit = [0u64; 2];
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) != 0 {
            return 0;
        }
        limit[0] = limit[1];
        setrlimit(RLIMIT_NOFILE, &limit);
        getrlimit(RLIMIT_NOFILE, &mut limit);
    }
    limit[0]
}

/// The signals that a case sends.
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: one line an event, with the time in ms since the start.
pub struct Log {
    began: Instant,
    file: Mutex<File>,
}

impl Log {
    pub fn new(path: &Path) -> Arc<Log> {
        Arc::new(Log { began: Instant::now(), file: Mutex::new(File::create(path).expect("record.txt")) })
    }
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>6} {text}", self.now());
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with a read buffer.
pub struct Link {
    pub tcp: TcpStream,
    buffer: Vec<u8>,
}

impl Link {
    pub fn new(tcp: TcpStream) -> Link {
        let _ = tcp.set_nodelay(true);
        Link { tcp, buffer: Vec::new() }
    }
    pub fn connect(addr: SocketAddr, limit: Duration) -> Option<Link> {
        TcpStream::connect_timeout(&addr, limit).ok().map(Link::new)
    }
    fn fill(&mut self) -> Option<usize> {
        let mut piece = [0u8; 16384];
        match self.tcp.read(&mut piece) {
            Ok(0) | Err(_) => None,
            Ok(n) => {
                self.buffer.extend_from_slice(&piece[..n]);
                Some(n)
            }
        }
    }
    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(n) = self.buffer.iter().position(|b| *b == b'\n') {
                let raw: Vec<u8> = self.buffer.drain(..=n).collect();
                return Some(String::from_utf8_lossy(&raw).trim_end().to_string());
            }
            self.fill()?;
        }
    }
    pub fn read_head(&mut self) -> Option<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    fn take(&mut self, n: usize, into: &mut Vec<u8>) -> bool {
        while self.buffer.len() < n {
            if self.fill().is_none() {
                into.append(&mut self.buffer);
                return false;
            }
        }
        into.extend(self.buffer.drain(..n));
        true
    }
    /// Reads the body that the head announces.
    pub fn read_body(&mut self, message: &mut Message, is_answer: bool) {
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        let mut body = Vec::new();
        message.whole = if chunked {
            loop {
                let Some(size) = self.line() else { break false };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break false };
                if size == 0 {
                    break self.line().is_some();
                }
                if !self.take(size, &mut body) || self.line().is_none() {
                    break false;
                }
            }
        } else if let Some(length) = length {
            self.take(length, &mut body)
        } else if is_answer {
            while self.fill().is_some() {}
            body.append(&mut self.buffer);
            true
        } else {
            true
        };
        message.body = body;
    }
    pub fn read(&mut self, is_answer: bool) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, is_answer);
        Some(message)
    }
    pub fn send(&mut self, text: &str) -> bool {
        self.tcp.write_all(text.as_bytes()).is_ok()
    }
}

pub fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// One call with a whole answer; `None` if there is none.
pub fn call(addr: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut link = Link::connect(addr, ms(1000))?;
    link.tcp.set_read_timeout(Some(limit)).ok()?;
    if !link.send(request) {
        return None;
    }
    link.read(true).filter(|m| m.whole)
}

// ---------------------------------------------------------------- runners

#[derive(Default)]
pub struct Stock {
    pub holds: BTreeSet<String>,
    pub loading: Option<(String, Instant)>,
    pub sequence: u64,
    pub fence: u64,
}

/// What became of the requests at all runners.
#[derive(Default)]
pub struct Runs {
    /// For each request id: the runs that began, and whether each was whole.
    pub began: Mutex<BTreeMap<String, u32>>,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub is_engine: bool,
    pub slots: u64,
    pub load: Duration,
    /// How long a plain request works, or how long the pause between two events is.
    pub work: Mutex<Duration>,
    pub events: u64,
    pub stock: Mutex<Stock>,
    pub active: AtomicU64,
    pub draining: AtomicBool,
    pub runs: Arc<Runs>,
    pub log: Arc<Log>,
}

fn text_of(body: &str, key: &str) -> Option<String> {
    let at = body.find(&format!("\"{key}\""))? + key.len() + 2;
    let rest = body[at..].trim_start().strip_prefix(':')?.trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => Some(rest[..rest.find('"')?].to_string()),
        None => Some(rest.chars().take_while(|c| !",}]".contains(*c)).collect::<String>().trim().to_string()),
    }
}

impl Runner {
    pub fn start(self: &Arc<Runner>) {
        let socket = TcpListener::bind(self.addr).expect("a free address for a runner");
        let me = self.clone();
        thread::spawn(move || {
            for tcp in socket.incoming().flatten() {
                let me = me.clone();
                thread::spawn(move || me.serve(Link::new(tcp)));
            }
        });
    }
    fn settle(stock: &mut Stock) {
        if let Some((name, at)) = stock.loading.clone()
            && Instant::now() >= at
        {
            stock.holds.insert(name);
            stock.loading = None;
        }
    }
    pub fn models(&self) -> String {
        let mut stock = self.stock.lock().unwrap();
        Runner::settle(&mut stock);
        let rows: Vec<String> = stock
            .holds
            .iter()
            .map(|m| format!("{{\"Name\":\"{m}\",\"Revision\":1,\"Adapters\":[]}}"))
            .collect();
        format!("[{}]", rows.join(","))
    }
    fn report(&self) -> String {
        let models = self.models();
        let stock = self.stock.lock().unwrap();
        format!(
            "{{\"Phase\":\"colocated\",\"Models\":{models},\"Utilization\":{},\"Sequence\":{},\"Queued\":0,\"Active\":{},\"KvInUse\":0,\"KvPoolSize\":100000,\"LoadedSet\":0}}",
            stock.loading.is_some(),
            stock.sequence,
            self.active.load(Ordering::SeqCst)
        )
    }
    fn order(&self, body: &str) -> u16 {
        let mut stock = self.stock.lock().unwrap();
        Runner::settle(&mut stock);
        let (Some(op), Some(model), Some(owner), Some(fence)) =
            (text_of(body, "Opcode"), text_of(body, "Model"), text_of(body, "Owner"), text_of(body, "FenceToken"))
        else {
            return 400;
        };
        let fence: u64 = fence.parse().unwrap_or(0);
        let expected = text_of(body, "ExpectedCount").and_then(|n| n.parse::<u64>().ok());
        let status = if fence < stock.fence {
            412
        } else if stock.loading.is_some() || expected.is_some_and(|n| n != stock.sequence) {
            409
        } else if (op == "install") == stock.holds.contains(&model) {
            200
        } else {
            202
        };
        stock.fence = stock.fence.max(fence);
        if status == 202 {
            stock.sequence += 1;
            if op == "install" {
                stock.loading = Some((model.clone(), Instant::now() + self.load));
            } else {
                stock.holds.remove(&model);
            }
        }
        self.log.line(&format!("runner {} order {op} {model} owner={owner} fence={fence} -> {status}", self.id));
        status
    }
    fn serve(self: Arc<Runner>, mut link: Link) {
        while let Some(request) = link.read(false) {
            if !request.whole {
                return;
            }
            let id = request.header("x-request-id").unwrap_or("").to_string();
            let echo = if id.is_empty() { String::new() } else { format!("X-Request-Id: {id}\r\n") };
            if request.header("x-target-instance").is_some_and(|to| to != self.id) {
                if !link.send(&answer(421, &format!("{echo}X-Not-Executed: 1\r\n"), "")) {
                    return;
                }
                continue;
            }
            let sent = match request.path() {
                "/spindledock/report" => link.send(&answer(200, "Content-Type: application/json\r\n", &self.report())),
                "/spindledock/order" => link.send(&answer(self.order(&request.text()), "", "")),
                "/health" => link.send(&answer(200, &format!("X-Instance-Id: {}\r\n", self.id), "")),
                _ => self.run(&mut link, &request, &id, &echo),
            };
            if !sent {
                return;
            }
        }
    }
    fn run(&self, link: &mut Link, request: &Message, id: &str, echo: &str) -> bool {
        if self.is_engine {
            let model = request.header("x-model").unwrap_or("").to_string();
            let mut stock = self.stock.lock().unwrap();
            Runner::settle(&mut stock);
            if !stock.holds.contains(&model) {
                drop(stock);
                return link.send(&answer(421, &format!("{echo}X-Not-Executed: 1\r\n"), ""));
            }
        }
        let busy = self.active.fetch_add(1, Ordering::SeqCst);
        if busy >= self.slots * 4 {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return link.send(&answer(503, &format!("{echo}X-Not-Executed: 1\r\n"), ""));
        }
        let times = {
            let mut began = self.runs.began.lock().unwrap();
            let n = began.entry(id.to_string()).or_default();
            *n += 1;
            *n
        };
        self.log.line(&format!("runner {} runs {id} time {times}", self.id));
        let work = *self.work.lock().unwrap();
        let load = format!("X-Server-Load: {},0,{}\r\n", busy + 1, self.slots);
        let seal = format!("X-Server-Seal: {id}.{times}\r\nX-Weight-Versions: 1\r\n");
        let sent = if self.is_engine {
            let head = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n{echo}{load}{seal}\r\n"
            );
            let first: u64 = request.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0) / 5;
            let mut sent = link.send(&head);
            for n in first + 1..=self.events {
                thread::sleep(work);
                let event = format!("id: {}\ndata: {id}-{n}\n\n", n * 5);
                sent = sent && link.send(&format!("{:x}\r\n{event}\r\n", event.len()));
            }
            sent && link.send("0\r\n\r\n")
        } else {
            thread::sleep(work);
            link.send(&answer(200, &format!("{echo}{load}{seal}"), &format!("body of {id}")))
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        self.log.line(&format!("runner {} ends {id} sent={sent}", self.id));
        sent
    }
}

// ---------------------------------------------------------------- platform

pub fn start_platform(addr: SocketAddr, runners: Arc<Mutex<Vec<Arc<Runner>>>>) {
    let socket = TcpListener::bind(addr).expect("a free address for the platform");
    thread::spawn(move || {
        for tcp in socket.incoming().flatten() {
            let runners = runners.clone();
            thread::spawn(move || {
                let mut link = Link::new(tcp);
                while let Some(_request) = link.read(false) {
                    let rows: Vec<String> = runners
                        .lock()
                        .unwrap()
                        .iter()
                        .map(|r| {
                            let state = if r.draining.load(Ordering::SeqCst) { "draining" } else { "up" };
                            format!(
                                "{{\"Backend\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Revision\":\"v1\",\"CapacitySlots\":{},\"OperState\":\"{state}\",\"ColdRemainingMs\":0,\"Phase\":\"colocated\",\"Models\":{},\"Id\":\"{}\"}}",
                                r.service, r.addr, r.zone, r.slots, r.models(), r.id
                            )
                        })
                        .collect();
                    let body = format!("{{\"Instances\":[{}],\"NextToken\":null}}", rows.join(","));
                    if !link.send(&answer(200, "Content-Type: application/json\r\n", &body)) {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- the system's own processes

pub const ZONES: [&str; 3] = ["suva-hall", "nausori-hall", "lautoka-hall"];

/// A small deployment on loopback: all machines use the same ports, each its own address.
pub struct Site {
    pub net: String,
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub ephemeral: u16,
    pub platform: SocketAddr,
    pub dir: PathBuf,
    pub children: BTreeMap<String, Child>,
    pub log: Arc<Log>,
    pub memory_mb: u64,
    /// Whether the processes started next belong to the first start of the whole system.
    pub bootstrap: bool,
}

impl Site {
    pub fn new(dir: &Path, log: Arc<Log>) -> Site {
        let seed = std::process::id();
        let net = format!("127.{}.{}", 20 + seed % 200, (seed / 200) % 250);
        let base = 20_000 + (seed % 300) as u16 * 40;
        let platform = format!("{net}.200:{}", base + 2).parse().unwrap();
        Site {
            net,
            front: base + 4,
            ready: base,
            control: base + 6,
            ephemeral: base + 10,
            platform,
            dir: dir.to_path_buf(),
            children: BTreeMap::new(),
            log,
            memory_mb: 260,
            bootstrap: true,
        }
    }
    pub fn controller_ip(&self, n: usize) -> String {
        format!("{}.{}", self.net, 10 + n)
    }
    pub fn router_ip(&self, n: usize) -> String {
        format!("{}.{}", self.net, 30 + n)
    }
    pub fn runner_addr(&self, n: usize) -> SocketAddr {
        format!("{}.{}:{}", self.net, 100 + n, self.front).parse().unwrap()
    }
    pub fn front_of(&self, router: usize) -> SocketAddr {
        format!("{}:{}", self.router_ip(router), self.front).parse().unwrap()
    }
    pub fn ready_of(&self, router: usize) -> SocketAddr {
        format!("{}:{}", self.router_ip(router), self.ready).parse().unwrap()
    }
    pub fn control_of(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.controller_ip(n), self.control).parse().unwrap()
    }
    fn settings(&self, name: &str, class: &str, ip: &str, zone: &str, bindings: &str, data: &str, quorum: bool) -> String {
        let seeds: String = (0..3).map(|n| format!("  - \"{}\"\n", self.control_of(n))).collect();
        let zones: String = ZONES.iter().map(|z| format!("  {z}: \"viti-levu\"\n")).collect();
        let serves = if class == "edge" { "edge" } else { "control" };
        let memory = if class == "edge" { self.memory_mb } else { 256 };
        format!(
            "NodeName: \"{name}\"\nRole: \"{class}\"\nMachineClass: \"{class}\"\nServes:\n  - \"{serves}\"\nIp: \"{ip}\"\nZone: \"{zone}\"\nRegion: \"viti-levu\"\nZones:\n{zones}Bindings:\n{bindings}EphemeralPorts:\n  - {}\n  - {}\nSeedPeers:\n{seeds}Bootstrap: {}\nQuorumMember: {quorum}\nLimits:\n  CpuShare: 0.25\n  CpuCores: 1\n  MemoryMb: {memory}\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 128\nDataDir: {data}\nDiscovery: \"cloud_api\"\nEntryMode: \"anycast_vip\"\nKeepaliveMs: 1200\nContracts:\n  - \"base\"\nFaultTolerance:\n  Machines: 1\n  Zones: 0\n  Regions: 0\nTimers:\n  SeedLagS: 3\n  AddressReuseS: 2\n  HoldTimeMs: 3000\n  AckTimeoutMs: 4000\n  SyncTimeS: 4\n  DrainTimeoutMs: 3000\n  GraceS: 8\n  DeadIntervalMs: 200\n  ConvergenceMs: 2000\n  RollbackSlackMs: 250\n  MaxStretchMs: 5000\n  RetryBudgetRatio: 0.2\n  RetryWindowS: 10\n  RetryMin: 52\n  RecoveryS: 12\n  PassIntervalMs: 120\n  RetryAfterS: 0\n  FenceEnforced: true\n  LeaseMs: 3000\n  ThawSlackMs: 300\n  OriginWindowS: 5\n  OriginTolerance: 1.1\nCloudApi:\n  Address: \"{}\"\n  RatePerS: 40.0\n  Duties: []\n  MaxLagMs: 800\n",
            self.ephemeral,
            self.ephemeral + 15,
            self.bootstrap,
            self.platform
        )
    }
    fn spawn(&mut self, name: &str, program: &str, settings: &str) {
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("the temporary folder can be written");
        let log = File::options().create(true).append(true).open(self.dir.join(format!("{name}.log"))).expect("a log");
        let mut command = Command::new(format!("target/release/{program}"));
        // The started programs end with this process, however it ends (PR_SET_PDEATHSIG).
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg("--platform")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("SPINDLEDOCK_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("{program}: {e}")));
        self.log.line(&format!("started {name}"));
        self.children.insert(name.to_string(), child);
    }
    pub fn start_controller(&mut self, n: usize) {
        let data = self.dir.join(format!("data-{n}"));
        std::fs::create_dir_all(&data).expect("a data folder");
        let (ip, zone) = (self.controller_ip(n), ZONES[n % 3]);
        let bindings = format!("  ControlPlane: \"{}\"\n", self.control_of(n));
        let text = self.settings(&format!("core-{n}"), "core", &ip, zone, &bindings, &format!("\"{}\"", data.display()), true);
        self.spawn(&format!("core-{n}"), "spindledock-controller", &text);
    }
    pub fn start_router(&mut self, n: usize) {
        let (ip, zone) = (self.router_ip(n), ZONES[n % 3]);
        let bindings = format!("  FrontHttp: \"{}\"\n  Readiness: \"{}\"\n", self.front_of(n), self.ready_of(n));
        let text = self.settings(&format!("edge-{n}"), "edge", &ip, zone, &bindings, "null", false);
        self.spawn(&format!("edge-{n}"), "spindledock-router", &text);
    }
    pub fn signal(&self, name: &str, signal: i32) {
        let Some(child) = self.children.get(name) else { return };
        let done = unsafe { kill(child.id() as i32, signal) };
        self.log.line(&format!("signal {signal} to {name}: {done}"));
    }
    /// The resident memory of a process in kB, as the kernel tells it; 0 if it doesn't run.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let Some(child) = self.children.get(name) else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let row = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        row.and_then(|r| r.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
    pub fn wait_end(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.wait();
        }
    }
    pub fn is_running(&mut self, name: &str) -> bool {
        self.children.get_mut(name).is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }
    pub fn stop_all(&mut self) {
        for (_, child) in self.children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    /// The controller that has this place in the chain, as the nodes tell an operator.
    pub fn controller_at(&self, place: &str) -> Option<usize> {
        for n in 0..3 {
            let addr = self.control_of(n);
            let request = format!("GET /v1/nodes HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
            let Some(text) = call(addr, &request, ms(1000)).filter(|m| m.status() == 200).map(|m| m.text()) else { continue };
            let row = text.split('}').find(|row| row.contains(&format!("\"place\":\"{place}\"")));
            let found = row.and_then(|row| (0..3).find(|k| row.contains(&format!("\"{}\"", self.control_of(*k)))));
            if found.is_some() {
                return found;
            }
        }
        None
    }
    /// Sends an order of the operator until it has a clear answer, at most for 25 s.
    pub fn operate(&self, method: &str, base: u64, text: &str) -> u16 {
        let until = Instant::now() + Duration::from_secs(25);
        let mut n = 0;
        while Instant::now() < until {
            let mut addr = self.control_of(n % 3);
            n += 1;
            for _ in 0..3 {
                let request = format!(
                    "{method} /spindledock/config HTTP/1.1\r\nHost: {addr}\r\nIf-Match: {base}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                );
                // The operator goes on to another node after a second of silence.
                let Some(got) = call(addr, &request, ms(1000)) else { break };
                let status = got.status();
                self.log.line(&format!("operator {method} base {base} at {addr}: {status}"));
                if status == 307 {
                    let to = got.header("location").and_then(|l| l.strip_prefix("http://")).and_then(|l| l.split('/').next());
                    let Some(to) = to.and_then(|a| a.parse().ok()) else { break };
                    addr = to;
                    continue;
                }
                if status == 200 || matches!(status, 400 | 409 | 412 | 413 | 422) {
                    return status;
                }
                break;
            }
            thread::sleep(ms(150));
        }
        0
    }
    /// Waits until a router calls itself ready.
    pub fn wait_ready(&self, router: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let addr = self.ready_of(router);
        while Instant::now() < until {
            let request = format!("GET /spindledock/ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
            if call(addr, &request, ms(500)).is_some_and(|m| m.status() == 200) {
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop_all();
    }
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    std::process::exit(2)
}

// ---------------------------------------------------------------- clients

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    /// 0: no answer; else the status.
    pub status: u16,
    pub whole: bool,
    pub body: String,
    pub seal: bool,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000u64 + NEXT.fetch_add(1, Ordering::SeqCst))
}

/// Sends one request on a new connection and reads its answer.
pub fn request(log: &Log, to: SocketAddr, host: &str, path: &str, extra: &str, body: &str, deadline: u64) -> Ended {
    let id = new_id();
    log.line(&format!("client sends {id} {path}"));
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let got = call_ended(to, &text, ms(deadline + 1000));
    let ended = match got {
        Some(m) => Ended {
            id,
            status: m.status(),
            whole: m.whole,
            body: m.text(),
            seal: m.header("x-server-seal").is_some(),
        },
        None => Ended { id, status: 0, whole: false, body: String::new(), seal: false },
    };
    let short: String = ended.body.chars().take(90).collect();
    log.line(&format!("client gets {} status={} whole={} {:?}", ended.id, ended.status, ended.whole, short));
    ended
}

fn call_ended(addr: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut link = Link::connect(addr, ms(1000))?;
    link.tcp.set_read_timeout(Some(limit)).ok()?;
    if !link.send(request) {
        return None;
    }
    link.read(true)
}

include!("cases.rs");

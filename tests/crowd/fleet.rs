//! Three controllers and a router as real processes, a list of runners, and one scripted runner.

use super::platform::{configuration, serve_list, settings};
use super::runner::script;
use super::sockets::has_unread_bytes;
use super::{LONG, MAX_BODY_BYTES, MAX_DESCRIPTORS, MEMORY_MB};
use spindledock::launch::ports::free_base;
use spindledock::platform::settings::PATH_VARIABLE;
use spindledock::standin::raw::RawRunners;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How many controllers there are.
const CONTROLLERS: usize = 3;
/// A process and where it is reached.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
}

impl Process {
    fn status_kb(&self, key: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(key));
        line.and_then(|l| l.trim_matches([':', ' ', '\t', 'k', 'B']).parse().ok()).unwrap_or(0)
    }

    /// The most memory that was resident at any time, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        self.status_kb("VmHWM") / 1024
    }

    /// How many descriptors are open.
    pub fn open_descriptors(&self) -> u64 {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, |rows| rows.count() as u64)
    }
}

/// The processes of a test. They end with it.
pub struct CrowdFleet {
    pub router: Process,
    pub controllers: Vec<Process>,
    pub runners: Arc<RawRunners>,
    /// Answers the requests to `HELD_PATH` that have arrived.
    pub release: Arc<Notify>,
    base: u16,
    dir: PathBuf,
}

fn start(program: &str, name: &str, ip: Ipv4Addr, file: &std::path::Path) -> Process {
    let log = std::fs::File::create(file.with_extension("log")).expect("a log file");
    let mut command = Command::new(program);
    command.arg("--platform").env(PATH_VARIABLE, file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let limit_descriptors = || {
        let limit = libc::rlimit { rlim_cur: MAX_DESCRIPTORS, rlim_max: MAX_DESCRIPTORS };
        match unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, &limit) } {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        }
    };
    unsafe { command.pre_exec(limit_descriptors) };
    Process { name: name.to_string(), ip, child: command.spawn().expect("it starts") }
}

impl CrowdFleet {
    /// Starts the processes and waits until the router serves.
    pub async fn start(name: &str) -> CrowdFleet {
        let release = Arc::new(Notify::new());
        let runners = Arc::new(RawRunners::start(1, script(release.clone())).await);
        let list = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let list_addr = list.local_addr().expect("an address");
        tokio::spawn(serve_list(list, runners.addrs[0]));
        let dir = std::env::temp_dir().join(format!("spindledock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let base = free_base();
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = |n: usize| Ipv4Addr::new(127, high.max(1), low, n as u8 + 1);
        let seeds: Vec<Ipv4Addr> = (0..CONTROLLERS).map(ip).collect();
        let controllers = (0..CONTROLLERS).map(|n| {
            let data = format!("\"{}\"", dir.join(format!("c{n}")).display());
            let file = dir.join(format!("c{n}.yaml"));
            std::fs::write(&file, settings("controller", ip(n), base, list_addr, &data, &seeds))
                .expect("written");
            start(env!("CARGO_BIN_EXE_spindledock-controller"), &format!("controller {n}"), ip(n), &file)
        });
        let controllers: Vec<Process> = controllers.collect();
        let file = dir.join("r.yaml");
        let at = ip(CONTROLLERS);
        std::fs::write(&file, settings("router", at, base, list_addr, "null", &seeds)).expect("written");
        let router = start(env!("CARGO_BIN_EXE_spindledock-router"), "router", at, &file);
        let fleet = CrowdFleet { router, controllers, runners, release, base, dir };
        fleet.configure(0, &configuration()).await;
        fleet.expect_ordinary_request_served().await;
        fleet
    }

    /// Brings a configuration that follows the revision `base`.
    pub async fn configure(&self, base: u64, document: &str) {
        let put = format!(
            "PUT /spindledock/config HTTP/1.1\r\nhost: c\r\nif-match: {base}\r\ncontent-length: {}\r\n\r\n{document}",
            document.len()
        );
        self.until_answered(self.control(0), put.as_bytes(), 200).await;
    }

    /// Where clients reach the router.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.router.ip, self.base + 2))
    }

    /// Where the platform asks whether the router is ready.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.router.ip, self.base + 1))
    }

    /// Where the operator and the runners reach a controller.
    pub fn control(&self, n: usize) -> SocketAddr {
        SocketAddr::from((self.controllers[n].ip, self.base + 1))
    }

    /// Sends a request on a new connection, again and again, until the answer has this status.
    async fn until_answered(&self, addr: SocketAddr, request: &[u8], status: u16) {
        let began = Instant::now();
        let expected = format!("HTTP/1.1 {status}");
        let mut last = String::new();
        while began.elapsed() < LONG {
            let exchange = async {
                let mut tcp = TcpStream::connect(addr).await?;
                tcp.write_all(request).await?;
                let mut raw = vec![0; 512];
                let n = tcp.read(&mut raw).await?;
                raw.truncate(n);
                std::io::Result::Ok(String::from_utf8_lossy(&raw).into_owned())
            };
            match tokio::time::timeout(LONG / 10, exchange).await {
                Ok(Ok(text)) if text.starts_with(&expected) => return,
                other => last = format!("{other:?}"),
            }
            tokio::time::sleep(LONG / 1000).await;
        }
        panic!("{addr} did not answer {status}; last: {last}; logs are in {}", self.dir.display());
    }

    /// Returns once all that clients and operators have sent is read, or their connections are closed.
    pub async fn until_consumed(&self) {
        let began = Instant::now();
        for addr in [self.front(), self.readiness(), self.control(0)] {
            while has_unread_bytes(addr) {
                assert!(began.elapsed() < LONG, "{addr} leaves bytes unread; logs: {}", self.dir.display());
                tokio::time::sleep(LONG / 1000).await;
            }
        }
    }

    /// Fails unless an ordinary client's request with a small body is answered.
    pub async fn expect_ordinary_request_served(&self) {
        let body = "a".repeat(1000);
        let request = format!(
            "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: 1\r\nx-deadline-ms: 10000\r\ncontent-length: \
             1000\r\n\r\n{body}"
        );
        self.until_answered(self.front(), request.as_bytes(), 200).await;
    }

    /// Fails unless the largest body that the configuration allows is served.
    pub async fn expect_large_request_served(&self) {
        let head = format!(
            "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: 2\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
        );
        let request = [head.into_bytes(), vec![b'a'; MAX_BODY_BYTES]].concat();
        self.until_answered(self.front(), &request, 200).await;
    }

    /// Fails unless the operator can read the configuration at each controller and the router says that it is ready.
    pub async fn expect_operator_answered(&self) {
        let read = b"GET /spindledock/config HTTP/1.1\r\nhost: c\r\n\r\n";
        for n in 0..CONTROLLERS {
            self.until_answered(self.control(n), read, 200).await;
        }
        let ready = b"GET /spindledock/ready HTTP/1.1\r\nhost: c\r\n\r\n";
        self.until_answered(self.readiness(), ready, 200).await;
    }

    /// Fails unless every process lives, within the memory and the descriptors of its machine.
    pub fn expect_within_machine(&mut self) {
        let dir = self.dir.display().to_string();
        for process in self.controllers.iter_mut().chain([&mut self.router]) {
            let end = process.child.try_wait().expect("a child");
            assert!(end.is_none(), "{} ended: {end:?}; logs are in {dir}", process.name);
            let (memory, descriptors) = (process.peak_memory_mb(), process.open_descriptors());
            println!("{}: {memory} MB at its peak, {descriptors} descriptors", process.name);
            assert!(memory <= MEMORY_MB, "{}: {memory} MB of {MEMORY_MB}", process.name);
            assert!(descriptors <= MAX_DESCRIPTORS, "{}: {descriptors} descriptors", process.name);
        }
    }

    /// What must hold while a crowd is there: processes live within their machines, and ordinary callers are answered.
    pub async fn expect_unharmed(&mut self) {
        self.expect_ordinary_request_served().await;
        self.expect_operator_answered().await;
        self.expect_within_machine();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Drop for CrowdFleet {
    fn drop(&mut self) {
        for process in self.controllers.iter_mut().chain([&mut self.router]) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

//! Three controllers and a router as real processes, a list of runners, and one scripted runner.

use super::platform::{configuration, serve_list};
use super::process::{CONTROLLERS, Place, Process};
use super::runner::script;
use super::sockets::has_unread_bytes;
use super::{LONG, MAX_BODY_BYTES, MAX_DESCRIPTORS, MEMORY_MB};
use spindledock::launch::ports::free_base;
use spindledock::standin::raw::RawRunners;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The processes of a test. They end with it.
pub struct CrowdFleet {
    pub router: Process,
    pub controllers: Vec<Process>,
    pub runners: Arc<RawRunners>,
    /// Answers the requests to `HELD_PATH` that have arrived.
    pub release: Arc<Notify>,
    base: u16,
    dir: PathBuf,
    list: SocketAddr,
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
        let place = Place { base, list: list_addr, dir: &dir, is_first_start: true };
        let controllers = (0..CONTROLLERS).map(|n| place.start_controller(n)).collect();
        let router = place.start_router();
        let fleet = CrowdFleet { router, controllers, runners, release, base, dir, list: list_addr };
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

    /// Brings a change that may be refused, and waits for whatever becomes of it.
    pub async fn change(&self, method: &str, base: u64, document: &str) {
        let head = format!("{method} /spindledock/config HTTP/1.1\r\nif-match: {base}");
        self.exchange(self.control(0), &head, document).await;
    }

    /// Makes a call that may be refused, and waits for whatever becomes of it.
    pub async fn call(&self, door: SocketAddr, line: &str, text: &str) {
        self.exchange(door, &format!("{line} HTTP/1.1"), text).await;
    }

    async fn exchange(&self, door: SocketAddr, head: &str, text: &str) {
        let call = format!("{head}\r\nhost: c\r\ncontent-length: {}\r\n\r\n{text}", text.len());
        let exchange = async {
            let mut tcp = TcpStream::connect(door).await?;
            tcp.write_all(call.as_bytes()).await?;
            let mut status = [0; 12];
            tcp.read_exact(&mut status).await?;
            std::io::Result::Ok(String::from_utf8_lossy(&status).into_owned())
        };
        println!("{head:.30}: {:?}", tokio::time::timeout(LONG, exchange).await);
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

    /// Ends a process by a signal and starts it again: the router, or a controller by its number.
    pub fn restart(&mut self, controller: Option<usize>, signal: i32) {
        self.expect_within_machine();
        let place = Place { base: self.base, list: self.list, dir: &self.dir, is_first_start: false };
        let process = match controller {
            Some(n) => &mut self.controllers[n],
            None => &mut self.router,
        };
        unsafe { libc::kill(process.child.id() as i32, signal) };
        let _ = process.child.wait();
        *process = match controller {
            Some(n) => place.start_controller(n),
            None => place.start_router(),
        };
    }

    /// Tells the router that its settings have changed.
    pub fn hang_up(&self) {
        unsafe { libc::kill(self.router.child.id() as i32, libc::SIGHUP) };
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

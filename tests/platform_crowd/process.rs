//! One process of a fleet: its start, and what the kernel says of its memory and descriptors.

use super::MAX_DESCRIPTORS;
use super::platform::settings;
use spindledock::platform::settings::PATH_VARIABLE;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How many controllers there are.
pub const CONTROLLERS: usize = 3;

/// A process and where it is reached.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    pub child: Child,
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

/// The address of a machine: the controllers first, then the router.
fn ip(machine: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, machine as u8 + 1)
}

/// Where the processes of a fleet run and what they are told.
pub struct Place<'a> {
    pub base: u16,
    pub list: SocketAddr,
    pub dir: &'a Path,
    pub is_first_start: bool,
}

impl Place<'_> {
    pub fn start_controller(&self, n: usize) -> Process {
        let data = format!("\"{}\"", self.dir.join(format!("c{n}")).display());
        let file = self.write_settings(&format!("c{n}"), "controller", ip(n), &data);
        start(env!("CARGO_BIN_EXE_spindledock-controller"), &format!("controller {n}"), ip(n), &file)
    }

    pub fn start_router(&self) -> Process {
        let file = self.write_settings("r", "router", ip(CONTROLLERS), "null");
        start(env!("CARGO_BIN_EXE_spindledock-router"), "router", ip(CONTROLLERS), &file)
    }

    fn write_settings(&self, name: &str, role: &str, at: Ipv4Addr, data: &str) -> PathBuf {
        let seeds: Vec<Ipv4Addr> = (0..CONTROLLERS).map(ip).collect();
        let text = settings(role, at, self.base, self.list, data, &seeds);
        let text = text.replace("Bootstrap: true", &format!("Bootstrap: {}", self.is_first_start));
        let file = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("written");
        file
    }
}

//! The processes of a fleet on this machine.

use super::deployment::Deployment;
use super::ports::{PORTS_EACH, Ports, at};
pub use super::ports::{free_base, free_base_for};
use crate::json::tree::{Tree, map};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Fleet {
    pub plan: Deployment,
    pub dir: PathBuf,
    pub base: u16,
    /// The runners that are listed.
    pub roster: Vec<String>,
    /// How the processes are set.
    pub options: ProcessOptions,
    bins: PathBuf,
    ports: Ports,
    rows: BTreeMap<String, Child>,
}

/// How the processes of a fleet are set.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// How long a router that is told to stop may go on with its streams.
    pub drain_ms: u64,
    /// The pause of runners in the midst of each event, in microseconds.
    pub split_us: u64,
    /// The runners whose streams end with their connection.
    pub unframed: BTreeSet<String>,
    /// How many requests an assistant runner works on at once.
    pub slots: u64,
}

impl Default for ProcessOptions {
    fn default() -> ProcessOptions {
        ProcessOptions { drain_ms: 3000, split_us: 0, unframed: BTreeSet::new(), slots: 8 }
    }
}

impl Fleet {
    pub fn new(plan: Deployment, dir: &Path, base: u16) -> Result<Fleet, String> {
        let me = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut bins = me.parent().unwrap_or(Path::new(".")).to_path_buf();
        if bins.ends_with("deps") {
            bins.pop();
        }
        std::fs::create_dir_all(dir)
            .map_err(|e| format!("{}: {e}; name a folder to write to", dir.display()))?;
        std::fs::write(dir.join("fleet.json"), plan.config()).map_err(|e| e.to_string())?;
        let runners = |kind: &str, count: usize| (1..=count).map(move |n| format!("{kind}{n}")).collect();
        let mut roster: Vec<String> = runners("a", plan.assistants);
        roster.extend::<Vec<String>>(runners("p", plan.plains));
        let ports = Ports::of(&plan);
        let options = ProcessOptions::default();
        Ok(Fleet { plan, dir: dir.to_path_buf(), base, roster, options, bins, ports, rows: BTreeMap::new() })
    }

    pub fn links(&self, name: &str) -> SocketAddr {
        at(self.port(name))
    }

    pub fn admin(&self, name: &str) -> SocketAddr {
        at(self.port(name) + 1)
    }

    pub fn http(&self, name: &str) -> SocketAddr {
        at(self.port(name) + 2)
    }

    fn port(&self, name: &str) -> u16 {
        let n: u16 = name[1..].parse().unwrap_or(0);
        let block = match &name[..1] {
            "c" => 0,
            "r" => self.ports.routers,
            "a" => self.ports.assistants,
            _ => self.ports.plains,
        };
        self.base + block + n * PORTS_EACH
    }

    pub fn controllers(&self) -> Vec<String> {
        (1..=self.plan.core).map(|n| format!("c{n}")).collect()
    }

    pub fn routers(&self) -> Vec<String> {
        (1..=self.plan.routers).map(|n| format!("r{n}")).collect()
    }

    pub fn runners(&self) -> Vec<String> {
        self.roster.clone()
    }

    pub fn data(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn seeds(&self, name: &str) -> String {
        let mut all = self.controllers();
        all.push("r1".into());
        all.push("r2".into());
        let others = all.iter().filter(|n| *n != name).take(3);
        others.map(|n| self.links(n).to_string()).collect::<Vec<_>>().join(",")
    }

    pub fn start(&mut self, name: &str) -> Result<(), String> {
        let n: usize = name[1..].parse().unwrap_or(1);
        let zone = self.plan.zone(n - 1);
        let (links, admin, http) = (self.links(name), self.admin(name), self.http(name));
        let mut args: Vec<String> = Vec::new();
        let mut add = |k: &str, v: String| args.extend([k.to_string(), v]);
        let bin = match &name[..1] {
            "c" | "r" => {
                add("--address", links.to_string());
                add("--admin", admin.to_string());
                add("--domain", zone);
                add("--seeds", self.seeds(name));
                add("--core", self.plan.core.to_string());
                if name.starts_with('c') {
                    add("--data", self.data(name).display().to_string());
                    "spindledock-controller"
                } else {
                    add("--http", http.to_string());
                    add("--drain-ms", self.options.drain_ms.to_string());
                    "spindledock-router"
                }
            }
            kind => {
                add("--instance", name.to_string());
                add("--address", links.to_string());
                add("--catalog", self.dir.join("fleet.json").display().to_string());
                add("--sort", if kind == "a" { "assistant" } else { "plain" }.into());
                add("--room-mb", self.plan.room_mb.to_string());
                add("--plain-us", self.plan.plain_us.to_string());
                add("--record", self.dir.join(format!("{name}.record")).display().to_string());
                add("--split-us", self.options.split_us.to_string());
                add("--slots", self.options.slots.to_string());
                if self.options.unframed.contains(name) {
                    args.push("--unframed".into());
                }
                args.insert(0, "runner".into());
                "spindledock-standin"
            }
        };
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let log = log.map_err(|e| e.to_string())?;
        let made = Command::new(self.bins.join(bin))
            .args(&args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn();
        let child = made.map_err(|e| format!("{bin}: {e}; build all programs first: cargo build"))?;
        self.rows.insert(name.to_string(), child);
        Ok(())
    }

    pub fn signal(&mut self, name: &str, sig: i32) {
        if let Some(child) = self.rows.get(name) {
            unsafe { libc::kill(child.id() as i32, sig) };
        }
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.rows.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn running(&mut self, name: &str) -> bool {
        self.rows.get_mut(name).is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// How a process that was started has ended; none while it runs or when it was waited for.
    pub fn exit_of(&mut self, name: &str) -> Option<std::process::ExitStatus> {
        self.rows.get_mut(name).and_then(|child| child.try_wait().ok().flatten())
    }

    /// The processes that were started and not waited for.
    pub fn started(&self) -> Vec<String> {
        self.rows.keys().cloned().collect()
    }

    pub fn wait_end(&mut self, name: &str) {
        if let Some(mut child) = self.rows.remove(name) {
            let _ = child.wait();
        }
    }

    pub fn runner_list(&self) -> String {
        let row = |name: &String| {
            let n: usize = name[1..].parse().unwrap_or(1);
            let service = if name.starts_with('a') { "assistant" } else { self.plan.plain_service };
            map(&[
                ("instance", name.as_str().into()),
                ("service", service.into()),
                ("domain", self.plan.zone(n - 1).into()),
                ("address", self.links(name).to_string().into()),
            ])
        };
        Tree::List(self.runners().iter().map(row).collect()).to_string()
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        for name in self.runners().into_iter().chain(self.controllers()).chain(self.routers()) {
            self.start(&name)?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let names: Vec<String> = self.rows.keys().cloned().collect();
        for n in names {
            self.kill(&n);
        }
    }
}

//! Reads the platform's list of instances, from which the fleet knows its runners.

use crate::fleet::runner::Runner;
use crate::json::Tree;
use crate::kernel::ids::Name;
use crate::protocol::{Call, RunnerListProtocol};
use crate::runner_list::timing::ListTiming;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// The list of instances that the platform keeps.
pub struct InstanceList {
    /// Where the list is read.
    pub addr: SocketAddr,
    /// The pause between two readings.
    pub pause: Duration,
    /// How old the list may become.
    pub timing: ListTiming,
}

/// One entry of the list as a runner; `None` if it is incomplete.
fn read_runner(t: &Tree) -> Option<Runner> {
    Some(Runner {
        instance: Name::from(t.text("Id")?),
        service: Name::from(t.text("Backend")?),
        domain: Name::from(t.text("Zone").unwrap_or("")),
        addr: t.text("Address")?.parse().ok()?,
        leaving: t.text("OperState") != Some("up"),
    })
}

/// A text, percent-encoded for the query of a URL.
fn percent_encoded(text: &str) -> String {
    let mut out = String::new();
    for b in text.bytes() {
        match b {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => out.push(b as char),
            _ => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

impl RunnerListProtocol for InstanceList {
    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn pause(&self) -> Duration {
        self.pause
    }

    fn timing(&self) -> ListTiming {
        self.timing
    }

    fn ask(&self, page: Option<&str>) -> Call {
        let path =
            page.map_or("/instances".to_string(), |p| format!("/instances?PageToken={}", percent_encoded(p)));
        Request::builder()
            .uri(path)
            .header("host", self.addr.to_string())
            .body(Full::new(Bytes::new()))
            .expect("a valid call")
    }

    fn read(&self, body: &[u8]) -> Option<(Vec<Runner>, Option<String>)> {
        let t = Tree::parse(std::str::from_utf8(body).ok()?).ok()?;
        let Some(Tree::List(_)) = t.get("Instances") else { return None };
        let rows = t.list("Instances").iter().filter_map(read_runner).collect();
        Some((rows, t.text("NextToken").map(|p| p.to_string())))
    }
}

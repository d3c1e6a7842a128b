//! Runners, and the reports that they give of themselves, in the product's own format.

use crate::json::tree::{Tree, map, names};
use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

/// A runner as the list has it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Runner {
    /// Its name.
    pub instance: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Its failure domain (zone).
    pub domain: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
}

impl Runner {
    /// Reads a row of a list of runners.
    ///
    /// # Errors
    ///
    /// A text that names what is missing or malformed.
    pub fn read(t: &Tree) -> Result<Runner, String> {
        let text = |k: &str| t.text(k).map(|s| s.to_string());
        let instance = text("instance").ok_or("instance is missing; name the runner's instance")?;
        let service = text("service").ok_or(format!("{instance}: service is missing; name its service"))?;
        let raw = text("address").ok_or(format!("{instance}: address is missing; give IP:port"))?;
        let addr =
            raw.parse().map_err(|_| format!("{instance}: address \"{raw}\" is not IP:port; give one"))?;
        let domain = Name(text("domain").or(text("zone")).unwrap_or_default());
        let leaving = t.flag("leaving").unwrap_or(false);
        Ok(Runner { instance: Name(instance), service: Name(service), domain, addr, leaving })
    }

    /// The runner as operators see it.
    pub fn tree(&self) -> Tree {
        map(&[
            ("instance", self.instance.0.as_str().into()),
            ("service", self.service.0.as_str().into()),
            ("domain", self.domain.0.as_str().into()),
            ("address", self.addr.to_string().into()),
            ("leaving", self.leaving.into()),
        ])
    }
}

/// A runner's report.
#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RunnerReport {
    /// Its name.
    pub instance: Name,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Its memory for weights, in MB; 0 if the report does not tell.
    pub room_mb: u64,
    /// How much of that is used.
    pub used_mb: u64,
    /// The adapters that it can hold; 0 if the report does not tell.
    pub adapter_room: u64,
    /// The models and adapters that it holds.
    pub holds: Vec<Name>,
    /// Those that it is loading.
    pub loading: Vec<Name>,
    /// The prompt prefixes in its cache.
    pub prefixes: Vec<String>,
    /// Requests in execution.
    pub running: u64,
    /// Requests in its queue.
    pub waiting: u64,
    /// Requests in execution by model.
    pub runs: Vec<(Name, u64)>,
    /// The requests that it executes at a time; 0 if the report does not tell.
    pub slots: u64,
    /// The highest term of an order that it has accepted.
    pub term: u64,
    /// The number of orders that it has accepted.
    pub orders: u64,
    /// Tokens in its KV cache.
    pub tokens: u64,
    /// Whether it is carrying out an order.
    pub busy: bool,
}

impl RunnerReport {
    /// Reads a report; `None` if a required field is missing.
    pub fn read(t: &Tree) -> Option<RunnerReport> {
        let all = |k: &str| t.texts(k).into_iter().map(Name).collect::<Vec<_>>();
        let runs = t.list("runs").iter();
        Some(RunnerReport {
            instance: Name(t.text("instance")?.to_string()),
            leaving: t.text("state") == Some("leaving"),
            room_mb: t.num("room_mb")?,
            used_mb: t.num("used_mb")?,
            adapter_room: t.num("adapter_room").unwrap_or(0),
            holds: all("holds"),
            loading: all("loading"),
            prefixes: t.texts("prefixes"),
            running: t.num("running")?,
            waiting: t.num("waiting")?,
            runs: runs.filter_map(|r| Some((Name(r.text("model")?.into()), r.num("count")?))).collect(),
            slots: t.num("slots").unwrap_or(8),
            term: t.num("term").unwrap_or(0),
            orders: t.num("orders").unwrap_or(0),
            tokens: t.num("tokens").unwrap_or(0),
            busy: t.flag("busy").unwrap_or(false),
        })
    }

    /// The report in the product's own format.
    pub fn tree(&self) -> Tree {
        let runs = self.runs.iter();
        let runs = runs.map(|(m, n)| map(&[("model", m.0.as_str().into()), ("count", (*n).into())]));
        map(&[
            ("instance", self.instance.0.as_str().into()),
            ("state", if self.leaving { "leaving" } else { "ready" }.into()),
            ("room_mb", self.room_mb.into()),
            ("used_mb", self.used_mb.into()),
            ("adapter_room", self.adapter_room.into()),
            ("holds", names(&self.holds)),
            ("loading", names(&self.loading)),
            ("prefixes", names(&self.prefixes)),
            ("running", self.running.into()),
            ("waiting", self.waiting.into()),
            ("runs", runs.collect::<Vec<_>>().into()),
            ("slots", self.slots.into()),
            ("term", self.term.into()),
            ("orders", self.orders.into()),
            ("tokens", self.tokens.into()),
            ("busy", self.busy.into()),
        ])
    }

    /// The requests in execution of a model.
    pub fn runs_of(&self, model: &Name) -> u64 {
        self.runs.iter().find(|r| r.0 == *model).map_or(0, |r| r.1)
    }

    /// Whether it holds a model or adapter.
    pub fn has(&self, name: &Name) -> bool {
        self.holds.contains(name)
    }
}

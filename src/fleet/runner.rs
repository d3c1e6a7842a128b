use crate::json::tree::{Tree, map, names};
use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};
use std::net::SocketAddr;

#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Runner {
    pub instance: Name,
    pub service: Name,
    pub domain: Name,
    pub addr: SocketAddr,
    pub leaving: bool,
}

impl Runner {
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

#[derive(Clone, PartialEq, Debug, Default, Encode, Decode)]
pub struct RunnerReport {
    pub instance: Name,
    pub leaving: bool,
    pub room_mb: u64,
    pub used_mb: u64,
    pub adapter_room: u64,
    pub holds: Vec<Name>,
    pub loading: Vec<Name>,
    pub prefixes: Vec<String>,
    pub running: u64,
    pub waiting: u64,
    pub runs: Vec<(Name, u64)>,
    pub slots: u64,
    pub term: u64,
    pub orders: u64,
    pub tokens: u64,
    pub busy: bool,
}

impl RunnerReport {
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

    pub fn runs_of(&self, model: &Name) -> u64 {
        self.runs.iter().find(|r| r.0 == *model).map_or(0, |r| r.1)
    }

    pub fn has(&self, name: &Name) -> bool {
        self.holds.contains(name)
    }
}

use super::check::Bad;
use super::check_config::LATE;
use super::record::{Asked, Fact};
use crate::fleet::FleetConfig;
use crate::fleet::read::read;
use crate::fleet::slice::{RoutesSlice, route_match};
use crate::json::Tree;
use crate::kernel::ids::*;
use crate::kernel::rand::hash;
use crate::kernel::time::Time;
use std::collections::BTreeMap;

pub struct Taken {
    pub id: ChangeId,
    pub at: Version,
    pub asked: Time,
    pub acked: Time,
    pub config: FleetConfig,
    pub routes: RoutesSlice,
    pub print: u64,
}

#[derive(Default)]
pub struct Replay {
    pub taken: Vec<Taken>,
    pub refused: Vec<ChangeId>,
    pub known_until: Option<Time>,
    pub bad: Bad,
}

/// A change that was sent, once or more often, and the clear answers that it got.
struct Ask<'a> {
    asked: Time,
    base: Option<Version>,
    text: &'a str,
    part: bool,
    ends: Vec<(Time, u16, Version)>,
}

impl Ask<'_> {
    fn acknowledged(&self) -> Option<(Time, Version)> {
        self.ends.iter().find(|end| end.1 == 200).map(|end| (end.0, end.2))
    }
}

/// Whether a status leaves open if the change was taken.
pub fn is_unclear(status: u16) -> bool {
    status >= 500 || status == 429
}

/// One change has one end, and one name and one base have one change.
fn contradictions(asks: &BTreeMap<ChangeId, Ask>) -> Bad {
    let mut bad = Bad::new();
    let taken: Vec<(&ChangeId, &Ask)> = asks.iter().filter(|row| row.1.acknowledged().is_some()).collect();
    for (n, (id, ask)) in taken.iter().enumerate() {
        let at = ask.acknowledged().map(|end| end.1);
        if let Some(end) = ask.ends.iter().find(|end| end.1 != 200) {
            bad.push(format!("6 change {id} was acknowledged and refused with {}", end.1));
        }
        if ask.ends.iter().any(|end| Some(end.2) != at) {
            bad.push(format!("6 change {id} was acknowledged as two versions"));
        }
        for (other, two) in &taken[n + 1..] {
            if other.name == id.name {
                bad.push(format!("6 two changes were acknowledged under the name {id}"));
            }
            if ask.base.is_some() && ask.base == two.base {
                bad.push(format!("6 changes {id} and {other} were acknowledged on one base"));
            }
        }
    }
    bad
}

fn next(old: &FleetConfig, ask: &Ask) -> Option<FleetConfig> {
    let new = Tree::parse(ask.text).ok()?;
    if !ask.part {
        return read(&new).ok();
    }
    let mut whole = old.tree();
    whole.merge(new);
    read(&whole).ok()
}

pub fn replay(rows: &[(Time, Fact)]) -> Replay {
    let mut asks: BTreeMap<ChangeId, Ask> = BTreeMap::new();
    for (t, f) in rows {
        match f {
            Fact::Asked { id, what: Asked::Config { base, text, part } } => {
                let first = Ask { asked: *t, base: *base, text, part: *part, ends: vec![] };
                asks.entry(*id).or_insert(first);
            }
            Fact::Answered { id, status, at } => {
                let Some(ask) = asks.get_mut(id) else { continue };
                if !is_unclear(*status) {
                    ask.ends.push((*t, *status, *at));
                }
            }
            _ => {}
        }
    }
    let known_until = asks.values().filter(|a| a.ends.is_empty()).map(|a| a.asked).min();
    let mut out = Replay { known_until, bad: contradictions(&asks), ..Replay::default() };
    let mut order: Vec<(Version, ChangeId)> = Vec::new();
    for (id, a) in &asks {
        match a.acknowledged() {
            Some((_, at)) => order.push((at, *id)),
            None if !a.ends.is_empty() => out.refused.push(*id),
            None => {}
        }
    }
    order.sort();
    let (mut config, mut last) = (FleetConfig::default(), Version(0));
    for (at, id) in order {
        let a = &asks[&id];
        if out.known_until.is_some_and(|t| a.asked >= t) {
            break;
        }
        if at == last {
            out.bad.push(format!("6 two changes were acknowledged as {at}, one of them {id}"));
        }
        if let Some(base) = a.base.filter(|b| *b != last) {
            out.bad.push(format!("6 change {id} on base {base} was acknowledged as {at} on top of {last}"));
        }
        let Some(new) = next(&config, a) else {
            out.bad.push(format!("6 change {id} was acknowledged and cannot be merged into {last}"));
            continue;
        };
        config = new;
        last = at;
        let acked = a.acknowledged().map_or(a.asked, |end| end.0);
        let (routes, print) = (RoutesSlice::of(&config), hash(&config.tree().to_string(), 4));
        out.taken.push(Taken { id, at, asked: a.asked, acked, config: config.clone(), routes, print });
    }
    out
}

impl Replay {
    pub fn at(&self, at: Version) -> Option<&Taken> {
        self.taken.iter().find(|t| t.at == at)
    }

    pub fn known(&self, now: Time) -> bool {
        !self.taken.is_empty() && self.known_until.is_none_or(|t| now < t)
    }

    /// The configurations that may be in force between two moments.
    pub fn in_force(&self, from: Time, to: Time) -> impl Iterator<Item = &Taken> {
        let floor = self.acked_before(from - LATE);
        self.taken.iter().filter(move |taken| taken.at >= floor && taken.asked <= to)
    }

    pub fn acked_before(&self, when: Time) -> Version {
        self.taken.iter().filter(|t| t.acked <= when).map(|t| t.at).max().unwrap_or_default()
    }
}

impl Taken {
    pub fn offers(&self, service: &Name, path: &str, model: &Name, adapter: &str) -> bool {
        let row = route_match(&self.routes.rows, "", path);
        row.is_some_and(|row| row.leads_to(service)) && self.has(service, model, adapter)
    }

    /// Whether each service that a request of this path may be sent to offers what it names.
    pub fn allows(&self, path: &str, model: &Name, adapter: &str) -> bool {
        let Some(row) = route_match(&self.routes.rows, "", path) else { return false };
        let split = row.route.split.iter().map(|share| &share.service);
        let mut targets = std::iter::once(&row.service).chain(split).filter(|name| row.leads_to(name));
        targets.all(|service| self.has(service, model, adapter))
    }

    fn has(&self, service: &Name, model: &Name, adapter: &str) -> bool {
        let Some(service) = self.config.service(service) else { return false };
        let named = model.0.is_empty() || service.models.contains(model);
        named && (adapter.is_empty() || service.adapters.iter().any(|a| a.0 == adapter))
    }
}

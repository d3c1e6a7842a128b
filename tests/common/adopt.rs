//! A test operator that sends configurations in a format of its own and checks what becomes of them.
#![allow(dead_code)]

use spindledock::fleet::FleetConfig;
use spindledock::fleet::read::read_text;
use spindledock::fleet::slice::RoutesSlice;
use spindledock::kernel::fault::{Fault, Kind};
use spindledock::kernel::ids::*;
use spindledock::kernel::rand::Rand;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::Deployment;
use spindledock::msg::{Answer, Event, OperatorCall};
use spindledock::protocol::{OperatorProtocol, ParsedCall};
use spindledock::sim::World;
use spindledock::sim::record::Fact;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An operator format for tests: a revision, then the names of routes. A partial change adds `+name` or drops
/// `-name`.
pub struct LineFormat;

impl OperatorProtocol for LineFormat {
    fn read_request(&self, _: ChangeId, _: &str, _: &str, _: Option<&str>, _: &str) -> Option<ParsedCall> {
        None
    }

    fn id(&self, method: &str, base: Option<&str>, text: &str) -> ChangeId {
        let base = base.map_or("any".to_string(), |base| format!("on {base}"));
        ChangeId::of_document(DocumentDigest::of(&[method.as_bytes(), base.as_bytes(), text.as_bytes()]))
    }

    fn revision(&self, text: &str) -> Option<u64> {
        text.split(' ').next()?.parse().ok()
    }

    fn status(&self, answer: &Answer) -> u16 {
        answer.status
    }

    fn read(&self, now: &FleetConfig, text: &str, part: bool) -> Result<FleetConfig, Vec<Fault>> {
        let mut words = text.split(' ');
        let bad = || vec![Fault::new(Kind::Config, "line 1", "has no revision", "begin with a number")];
        let revision = words.next().and_then(|t| t.parse().ok()).ok_or_else(bad)?;
        let mut names: Vec<&str> = if part { now.source.split(' ').skip(1).collect() } else { vec![] };
        for word in words {
            match word.strip_prefix('-') {
                Some(gone) => names.retain(|n| *n != gone),
                None => names.push(word.strip_prefix('+').unwrap_or(word)),
            }
        }
        let rows: Vec<String> = names.iter().map(|n| format!("{{\"prefix\":\"/{n}/\"}}")).collect();
        let body = format!(
            "{{\"services\":[{{\"name\":\"s\",\"sort\":\"plain\",\"routes\":[{}]}}]}}",
            rows.join(",")
        );
        let mut c = read_text(&body)?;
        c.revision = revision;
        c.source = format!("{revision} {}", names.join(" "));
        Ok(c)
    }
}

/// The base of a change that names no base.
pub const NO_BASE: u64 = u64::MAX;

pub struct SentChange {
    pub base: u64,
    pub text: String,
    pub part: bool,
    /// The status of each answer to it.
    pub statuses: Vec<u16>,
}

/// A test operator of one simulated fleet: sends changes, records their answers and checks the resulting history.
pub struct OperatorClient {
    pub world: World,
    pub sent: BTreeMap<ChangeId, SentChange>,
}

impl OperatorClient {
    pub fn start(plan: Deployment, seed: u64) -> OperatorClient {
        OperatorClient::start_tolerating(plan, seed, 1)
    }

    pub fn start_tolerating(plan: Deployment, seed: u64, tolerated: usize) -> OperatorClient {
        let mut w = World::build(plan, seed);
        for n in &mut w.nodes {
            n.place.tolerated_failures = tolerated;
            n.place.protocols.operator = Some(Arc::new(LineFormat));
        }
        w.start_all();
        let core = w.controllers();
        assert!(w.until(Span::ms(20_000), |w| core.iter().all(|n| w.nodes[*n].ready)).is_some());
        let leased = |w: &World, n: usize| {
            w.nodes[n].node.as_ref().is_some_and(|x| x.views.role.lease_until > w.local(n))
        };
        let core = w.controllers();
        assert!(w.until(Span::ms(3000), |w| core.iter().any(|n| leased(w, *n))).is_some(), "no lease");
        OperatorClient { world: w, sent: BTreeMap::new() }
    }

    /// Sends `count` changes, each based on the revision of the one before, in random order and to random nodes.
    pub fn send_shuffled(&mut self, count: u64) -> Vec<ChangeId> {
        let mut turn: Vec<u64> = (1..=count).collect();
        for n in (1..turn.len()).rev() {
            let k = self.world.rand.below(n as u64 + 1) as usize;
            turn.swap(n, k);
        }
        let mut ids = Vec::new();
        for n in turn {
            let place = self.world.rand.below(self.world.nodes.len() as u64) as usize;
            ids.push(self.send(place, 2 * n, &format!("{} +n{n}", 2 * n + 2)));
        }
        ids
    }

    pub fn send(&mut self, place: usize, base: u64, text: &str) -> ChangeId {
        let part = text.contains(['+', '-']);
        let id = LineFormat.id(if part { "PATCH" } else { "PUT" }, Some(&base.to_string()), text);
        let row = SentChange { base, text: text.to_string(), part, statuses: vec![] };
        self.sent.entry(id).or_insert(row);
        self.world.answers.remove(&id);
        let base = (base != NO_BASE).then_some(base);
        let op = OperatorCall::PlatformConfig { base, part, text: text.to_string() };
        self.world.operate(place, Event::OperatorCall { id, op });
        id
    }

    pub fn wait_for_answer(&mut self, id: ChangeId, most: Span) -> Option<u16> {
        let got = self.world.answer(id, most);
        if let (Some(status), Some(row)) = (got, self.sent.get_mut(&id)) {
            row.statuses.push(status);
        }
        got
    }

    pub fn send_and_wait(&mut self, place: usize, base: u64, text: &str) -> Option<u16> {
        let id = self.send(place, base, text);
        self.wait_for_answer(id, Span::ms(25_000))
    }

    /// Sends the same change to one node after another until one gives a definite answer, as an operator would.
    pub fn send_until_answered(&mut self, base: u64, text: &str) -> u16 {
        for n in (0..self.world.nodes.len()).cycle().take(40) {
            if !self.world.nodes[n].alive {
                continue;
            }
            let id = self.send(n, base, text);
            match self.wait_for_answer(id, Span::ms(1000)) {
                Some(status) if status < 500 => return status,
                _ => self.world.run_for(Span::ms(200)),
            }
        }
        panic!("no clear answer to {text}")
    }

    pub fn head(&self) -> usize {
        let views = self.world.nodes.iter().filter(|n| n.alive).filter_map(|n| n.node.as_ref());
        let view = views.filter_map(|n| n.views.view.clone()).max_by_key(|v| v.no).expect("a view");
        let is = |n: &spindledock::sim::nodes::SimNode| n.node.as_ref().map(|x| x.me.node) == view.head();
        self.world.nodes.iter().position(is).expect("a head")
    }

    pub fn logged_events(&self, what: &str) -> usize {
        let rows = self.world.record.rows.iter();
        rows.filter(|r| matches!(&r.1, Fact::Told { what: w, .. } if *w == what)).count()
    }

    pub fn source(&self, place: usize) -> &str {
        self.world.nodes[place].node.as_ref().map_or("", |n| n.views.state.config.source.as_str())
    }

    /// The configurations in the order of their revisions, as far as their changes may have been accepted, and what
    /// is wrong with the answers.
    fn accepted_states(&self) -> (Vec<(u64, u64, FleetConfig)>, Vec<String>) {
        let mut rows: Vec<&SentChange> = self.sent.values().filter(|s| !s.refused()).collect();
        rows.sort_by_key(|s| (s.base, s.text.clone()));
        let mut out = vec![(0, RoutesSlice::default().fingerprint(), FleetConfig::default())];
        let mut bad = Vec::new();
        let mut at = 0;
        loop {
            let next: Vec<&&SentChange> = rows.iter().filter(|s| s.base == at).collect();
            let sure = next.iter().filter(|s| s.statuses.contains(&200)).count();
            if sure > 1 {
                bad.push(format!("{sure} changes on {at} were acknowledged"));
            }
            let Some(s) = next.iter().max_by_key(|s| s.statuses.contains(&200)) else { return (out, bad) };
            let old = &out.last().expect("a first").2;
            let new = LineFormat.read(old, &s.text, s.part).expect("it was taken, so it reads");
            at = new.revision;
            out.push((at, RoutesSlice::of(&new).fingerprint(), new));
        }
    }

    /// Checks that the nodes only ever saw accepted configurations, in order, and that answers agree with them.
    pub fn check_history(&self) {
        let (taken, mut bad) = self.accepted_states();
        let all = self.sent.values().filter(|s| s.statuses.contains(&200)).count();
        if all > taken.len() - 1 {
            bad.push(format!("{all} changes were acknowledged, but they make {} steps", taken.len() - 1));
        }
        for s in self.sent.values().filter(|s| s.refused() && s.statuses.contains(&200)) {
            bad.push(format!("{:?} on {} was refused and acknowledged", s.text, s.base));
        }
        let mut seen: BTreeMap<usize, usize> = BTreeMap::new();
        for (t, f) in &self.world.record.rows {
            match f {
                Fact::Up { place } => drop(seen.remove(place)),
                Fact::Learnt { place, scope, print, .. } if scope == "routes" => {
                    let Some(step) = taken.iter().position(|r| r.1 == *print) else {
                        bad.push(format!("node {place} learnt at {t:?} what was never taken"));
                        continue;
                    };
                    if seen.insert(*place, step).is_some_and(|old| old > step) {
                        bad.push(format!("node {place} went back to {} at {t:?}", taken[step].0));
                    }
                }
                _ => {}
            }
        }
        assert!(bad.is_empty(), "{}", bad.join("\n"));
    }

    /// Waits until every controller has `source` and every router its routes, then checks the history.
    pub fn assert_all_have(&mut self, source: &str) {
        let all: Vec<usize> = (0..self.world.nodes.len()).filter(|n| self.world.nodes[*n].alive).collect();
        let config = LineFormat.read(&FleetConfig::default(), source.trim_end(), false).expect("good");
        let routes_wanted = RoutesSlice::of(&config);
        let (core, want) = (self.world.controllers(), source.to_string());
        let same = self.world.until(Span::ms(20_000), |w| {
            all.iter().all(|n| {
                let now = w.local(*n);
                let node = w.nodes[*n].node.as_ref();
                let kept = node.is_some_and(|x| x.views.state.config.source == want);
                let routes = w.nodes[*n].table.fresh_routes(now);
                if core.contains(n) { kept } else { routes.is_some_and(|r| r.1.rows == routes_wanted.rows) }
            })
        });
        assert!(same.is_some(), "all have {source}; the head has {}", self.source(self.head()));
        self.check_history();
    }
}

impl SentChange {
    /// Whether an answer refused it for good.
    pub fn refused(&self) -> bool {
        self.statuses.iter().any(|s| (400..500).contains(s) && *s != 429 && *s != 408)
    }
}

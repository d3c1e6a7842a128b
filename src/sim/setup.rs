use super::callers::SimFlow;
use super::nodes::SimNode;
use super::record::{Asked, Fact};
use super::runners::SimRunner;
use super::world::World;
use crate::daemon::assemble::NodeSettings;
use crate::distribution::reader::{FRESHNESS_LIMIT, SERVING_LEASE};
use crate::fleet::read::read_text;
use crate::fleet::runner::Runner;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::launch::deployment::Deployment;
use crate::msg::{self, OperatorCall, Role};
use crate::standin::stock::Stock;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

impl World {
    pub fn build(plan: Deployment, seed: u64) -> World {
        let mut w = World::new(plan.clone(), seed);
        let catalog = read_text(&plan.config()).expect("the deployment's configuration is sound");
        let total = plan.core + plan.routers;
        for n in 0..total {
            let (role, k) = if n < plan.core { (Role::Controller, n) } else { (Role::Router, n - plan.core) };
            let seeds = (0..plan.core + 2).filter(|s| *s != n).take(3).map(|s| at(1000 + s as u16));
            let place = NodeSettings {
                addr: at(1000 + n as u16),
                admin: at(2000 + n as u16),
                domain: Name(plan.zone(k)),
                seeds: seeds.collect(),
                core_size: plan.core,
                tolerated_failures: 1,
                may_found: true,
                freshness_limit: FRESHNESS_LIMIT,
                serving_lease: SERVING_LEASE,
                policy: plan.policy,
                list: None,
                protocols: Default::default(),
                quota: Default::default(),
            };
            let node = SimNode::new(place, role, &mut w.rand);
            w.nodes.push(node);
        }
        for n in 0..plan.assistants + plan.plains {
            let assistant = n < plan.assistants;
            let service = if assistant { "assistant" } else { plan.plain_service };
            let name =
                if assistant { format!("a{}", n + 1) } else { format!("p{}", n + 1 - plan.assistants) };
            let card = Runner {
                instance: Name(name.clone()),
                service: Name::from(service),
                domain: Name(plan.zone(n)),
                addr: at(3000 + n as u16),
                leaving: false,
            };
            w.runners.push(SimRunner {
                card,
                stock: Stock::new(Name(name), catalog.clone(), plan.room_mb, 8, 8),
                alive: true,
                dark: false,
                differ: false,
                evict: false,
                lie: false,
                mute: false,
                life: 1,
                runs: BTreeMap::new(),
                queue: Vec::new(),
                next: 0,
                token: Span::ms(40),
                plain: Span::ms(2),
                warm: BTreeMap::new(),
            });
        }
        w
    }

    pub fn controllers(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].role == Role::Controller && !self.nodes[*n].retired)
            .collect()
    }

    pub fn routers(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].role == Role::Router).collect()
    }

    pub fn start_all(&mut self) {
        for n in 0..self.nodes.len() {
            self.start_node(n);
        }
    }

    pub fn ask(&mut self, place: usize, op: OperatorCall) -> ChangeId {
        let id = ChangeId::named(self.fresh_id().name, op.document());
        self.ask_as(place, id, op);
        id
    }

    /// Sends an operator's change under a given id, for the first time or again.
    pub fn ask_as(&mut self, place: usize, id: ChangeId, op: OperatorCall) {
        self.note(Fact::Asked { id, what: Asked::of(&op) });
        self.operate(place, msg::Event::OperatorCall { id, op });
    }

    pub fn answer(&mut self, id: ChangeId, most: Span) -> Option<u16> {
        self.until(most, move |w| w.answers.contains_key(&id))?;
        self.answers.get(&id).map(|a| a.status)
    }

    pub fn config_op(&mut self, place: usize, text: String) -> ChangeId {
        self.ask(place, OperatorCall::ReplaceConfig { base: None, text })
    }

    pub fn list_op(&mut self, place: usize) -> ChangeId {
        let list = self.runners.iter().map(|r| r.card.clone()).collect();
        self.ask(place, OperatorCall::SetRunners(list))
    }

    pub fn boot(plan: Deployment, seed: u64) -> World {
        let mut w = World::build(plan, seed);
        w.found_fleet();
        w
    }

    /// Starts all nodes, and gives the fleet its first configuration and the list of its runners.
    pub fn found_fleet(&mut self) {
        self.start_all();
        let core = self.controllers();
        let up = self.until(Span::ms(20_000), |w| core.iter().all(|n| w.nodes[*n].ready));
        assert!(up.is_some(), "the core must found itself within 20 s");
        let first = self.routers()[0];
        let id = self.config_op(first, self.plan.config());
        assert_eq!(self.answer(id, Span::ms(20_000)), Some(200), "{:?}", self.answers.get(&id));
        self.show_later();
        let id = self.list_op(core[0]);
        assert_eq!(self.answer(id, Span::ms(5000)), Some(200));
    }

    /// Waits until the `hot` busiest models are held.
    pub fn load_models(&mut self, hot: u64) {
        let done = self.until(Span::ms(120_000), |w| {
            (0..hot).all(|m| {
                let name = Name(format!("m{m:02}"));
                w.runners.iter().any(|r| r.stock.holds.contains(&name))
            })
        });
        assert!(done.is_some(), "the hot models must be held within 120 s");
        self.run_for(Span::ms(1000));
    }

    pub fn loaded_boot(plan: Deployment, seed: u64, hot: u64) -> World {
        let mut w = World::boot(plan, seed);
        w.load_models(hot);
        w
    }

    pub fn flows_for(&self, hot: u64, scale: f64, until: Time) -> Vec<SimFlow> {
        let plan = &self.plan;
        let mut out: Vec<SimFlow> = plan
            .flows
            .iter()
            .map(|f| SimFlow {
                prefix: f.prefix.into(),
                service: Name::from("assistant"),
                resumable: f.resumable,
                per_s: f.per_s * scale,
                tokens: f.tokens,
                hot,
                adapted: true,
                until,
            })
            .collect();
        out.push(SimFlow {
            prefix: format!("/{}", plan.plain_service),
            service: Name::from(plan.plain_service),
            resumable: false,
            per_s: plan.plain_per_s * scale,
            tokens: 0,
            hot: 1,
            adapted: false,
            until,
        });
        out
    }

    pub fn traffic(&mut self, hot: u64, scale: f64, lasting: Span) {
        let until = self.now + lasting;
        for f in self.flows_for(hot, scale, until) {
            self.start_flow(f);
        }
    }
}

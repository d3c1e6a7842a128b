use super::procs::Fleet;
use crate::cli::run::{Ask, Sent, ask};
use crate::http::pool::Pool;
use crate::json::Tree;
use crate::standin::caller::{Call, Flow, assistant, load, tile};
use crate::standin::tally::Tally;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Trial {
    pub fleet: Fleet,
    pub pool: Arc<Pool>,
}

impl Trial {
    pub fn new(fleet: Fleet) -> Trial {
        Trial { fleet, pool: Arc::new(Pool::default()) }
    }

    pub async fn ask(&self, node: &str, a: &Ask) -> Result<Sent, String> {
        ask(&self.pool, &[self.fleet.admin(node)], a).await
    }

    pub async fn tree(&self, node: &str, path: &str) -> Option<Tree> {
        let sent = self.ask(node, &Ask::get(path)).await.ok()?;
        if sent.status != 200 {
            return None;
        }
        Tree::parse(&sent.body).ok()
    }

    pub async fn until(
        &self,
        what: &str,
        most: Duration,
        test: impl AsyncFn(&Trial) -> bool,
    ) -> Result<Duration, String> {
        let began = Instant::now();
        loop {
            if test(self).await {
                return Ok(began.elapsed());
            }
            if began.elapsed() > most {
                return Err(format!("{what} did not come about within {most:?}"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub async fn ready(&self, names: &[String]) -> Result<Duration, String> {
        let test = async |t: &Trial| {
            for n in names {
                if !t.ask(n, &Ask::get("/ready")).await.is_ok_and(|s| s.status == 200) {
                    return false;
                }
            }
            true
        };
        self.until("every node ready", Duration::from_secs(60), test).await
    }

    pub async fn apply(&self, node: &str) -> Result<Sent, String> {
        self.ask(node, &Ask::send("PUT", "/v1/config", self.fleet.plan.config())).await
    }

    pub async fn list(&self, node: &str) -> Result<Sent, String> {
        self.ask(node, &Ask::send("PUT", "/v1/runners", self.fleet.runner_list())).await
    }

    pub async fn held(&self, models: usize, most: Duration) -> Result<Duration, String> {
        let test = async |t: &Trial| {
            let mut seen = std::collections::BTreeSet::new();
            for name in t.fleet.runners().iter().filter(|n| n.starts_with('a')) {
                seen.extend(t.holds(name).await);
            }
            (0..models).all(|n| seen.contains(&t.fleet.plan.model(n)))
        };
        self.until("the models held", most, test).await
    }

    pub async fn holds(&self, runner: &str) -> Vec<String> {
        let report = ask(&self.pool, &[self.fleet.links(runner)], &Ask::get("/spindle/report")).await;
        let tree = report.ok().and_then(|s| Tree::parse(&s.body).ok());
        tree.map_or(vec![], |t| t.texts("holds"))
    }

    pub fn flows(&self, hot: usize, scale: f64) -> Vec<Flow> {
        let plan = &self.fleet.plan;
        let routers: Vec<_> = self.fleet.routers().iter().map(|r| self.fleet.http(r)).collect();
        let mut out = Vec::new();
        for f in &plan.flows {
            let (prefix, tokens, resumable, plan) = (f.prefix, f.tokens, f.resumable, plan.clone());
            let make = move |n: u64| {
                let model = plan.model((crate::kernel::rand::mix(n ^ tokens) % hot as u64) as usize);
                Call { resumable, ..assistant(&format!("{prefix}/{n}"), &model, tokens, n) }
            };
            out.push(Flow { routers: routers.clone(), per_s: f.per_s * scale, make: Arc::new(make) });
        }
        let service = plan.plain_service;
        let make = move |n: u64| tile(service, n % 500);
        out.push(Flow { routers, per_s: plan.plain_per_s * scale, make: Arc::new(make) });
        out
    }

    pub fn start_load(
        &self,
        flows: Vec<Flow>,
        lasting: Duration,
    ) -> (tokio::task::JoinHandle<()>, Arc<Mutex<Tally>>) {
        let sum = Arc::new(Mutex::new(Tally::default()));
        let (pool, total) = (self.pool.clone(), sum.clone());
        let work = tokio::spawn(async move {
            let mut all = tokio::task::JoinSet::new();
            for f in flows {
                all.spawn(load(pool.clone(), f, lasting, total.clone()));
            }
            while all.join_next().await.is_some() {}
        });
        (work, sum)
    }
}

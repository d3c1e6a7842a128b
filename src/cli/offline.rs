use crate::fleet::read::read;
use crate::fleet::runner::{Runner, RunnerReport};
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::placement::pending_orders::{PendingOrders, RunnerState};
use crate::placement::plan_building::full_plan;
use crate::placement::plan_input::PlanInput;
use crate::placement::plan_rehearsal::rehearse;
use std::cell::Cell;
use std::collections::BTreeMap;

pub fn plan(text: &str) -> Result<Tree, Vec<String>> {
    let tree = Tree::parse(text).map_err(|why| vec![format!("{why}; send well-formed JSON")])?;
    let mut bad = Vec::new();
    let config = match tree.get("configuration").map(read) {
        Some(Ok(c)) => Some(c),
        Some(Err(faults)) => {
            bad.extend(faults.iter().map(|f| format!("configuration.{f}")));
            None
        }
        None => {
            bad.push("configuration: is missing; add it as shown by show".into());
            None
        }
    };
    if let Tree::Map(rows) = &tree {
        let known = ["configuration", "reports", "demand"];
        let odd = rows.iter().filter(|r| !known.contains(&r.0.as_str()));
        bad.extend(odd.map(|r| format!("{}: is an unknown key; known are {}", r.0, known.join(", "))));
    }
    let mut offers: Vec<RunnerState> = Vec::new();
    for (n, t) in tree.list("reports").iter().enumerate() {
        let Some(report) = RunnerReport::read(t) else {
            bad.push(format!(
                "reports[{n}]: instance, room_mb, used_mb, running or waiting is missing; add it"
            ));
            continue;
        };
        let service = Name(t.text("service").unwrap_or("").to_string());
        if config.as_ref().is_some_and(|c| c.service(&service).is_none()) {
            bad.push(format!(
                "reports[{n}].service: \"{service}\" is unknown; name a service of the configuration"
            ));
        }
        if offers.iter().any(|o| o.runner.instance == report.instance) {
            bad.push(format!("reports[{n}].instance: \"{}\" is given twice; keep one", report.instance));
        }
        let runner = Runner {
            instance: report.instance.clone(),
            service,
            domain: Name(t.text("domain").unwrap_or("").to_string()),
            addr: ([0, 0, 0, 0], 0).into(),
            leaving: report.leaving,
        };
        offers.push(RunnerState { runner, report });
    }
    if offers.is_empty() {
        bad.push("reports: is empty; give each runner's report with its service".into());
    }
    let mut demand: BTreeMap<Name, u64> = BTreeMap::new();
    for (n, t) in tree.list("demand").iter().enumerate() {
        match (t.text("name"), t.num("count")) {
            (Some(name), Some(count)) => drop(demand.insert(Name::from(name), count)),
            _ => bad.push(format!("demand[{n}]: name or count is missing; add it")),
        }
    }
    if let Some(c) = &config {
        for (n, name) in demand.keys().enumerate().filter(|r| c.weight(r.1).is_none()) {
            bad.push(format!("demand[{n}].name: \"{name}\" is unknown; name a model or adapter"));
        }
        bad.extend(too_big(c, &offers));
    }
    let (true, Some(config)) = (bad.is_empty(), config) else { return Err(bad) };
    let mut flights = PendingOrders::default();
    flights.store_budget.reset(&config.store);
    let credit = config.services.iter().map(|s| (s.name.clone(), config.budget.allowance)).collect();
    let (config, flights) = (&config, &flights);
    let p = PlanInput {
        config,
        config_version: Version(0),
        runners: offers,
        pending: flights,
        now: Time(0),
        demand,
        retry_credit: credit,
        busy_runners: vec![],
    };
    let plan = full_plan(&p, PlanId(1), "planned offline", usize::MAX, &Cell::default());
    let tried = rehearse(&p, &plan);
    if !tried.faults.is_empty() {
        return Err(tried.faults);
    }
    Ok(map(&[("plan", plan.tree()), ("rehearsal", tried.note.as_str().into())]))
}

pub fn told(bad: &[String]) -> u8 {
    bad.iter().for_each(|b| eprintln!("{b}"));
    eprintln!("spindledock: {} fault(s); no plan was made", bad.len());
    2
}

pub fn too_big(c: &crate::fleet::FleetConfig, offers: &[RunnerState]) -> Vec<String> {
    let mut bad = Vec::new();
    for s in &c.services {
        let most = offers.iter().filter(|o| o.runner.service == s.name).map(|o| o.report.room_mb).max();
        let Some(most) = most else { continue };
        for m in s.models.iter().filter_map(|m| c.model(m)).filter(|m| m.weight_mb > most) {
            bad.push(format!(
                "model \"{}\" needs {} MB and the roomiest runner of {} has {most}; give a runner more room or drop it",
                m.name, m.weight_mb, s.name
            ));
        }
    }
    bad
}

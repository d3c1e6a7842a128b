use super::deployment::Deployment;
use crate::kernel::ids::Name;
use crate::kernel::time::Time;
use crate::sim::World;
use crate::sim::callers::SimFlow;
use crate::sim::check;
use crate::sim::record::Fact;
use std::collections::BTreeMap;
use std::path::Path;

pub fn line(runner: &str, text: &str) -> Option<(Time, Fact)> {
    let cells: BTreeMap<&str, &str> = text.split(' ').filter_map(|c| c.split_once('=')).collect();
    let what = text.split(' ').nth(1)?;
    let at = Time(cells.get("at")?.parse().ok()?);
    let get = |k: &str| Name(cells.get(k).copied().unwrap_or("").to_string());
    let call = || cells.get("call").and_then(|c| c.parse::<u64>().ok());
    let runner = Name(runner.to_string());
    let fact = match what {
        "arrive" => Fact::Tried { call: call()? },
        "run-begin" => {
            Fact::RunBegan { call: call()?, runner, model: get("model"), tenant: None, place: None }
        }
        "run-end" => Fact::RunEnded { call: call()?, whole: cells.get("whole") == Some(&"true") },
        "order" => Fact::Ordered {
            runner,
            term: cells.get("term")?.parse().ok()?,
            load: cells.get("what") == Some(&"load"),
            name: get("name"),
            status: 0,
        },
        "store-load" => Fact::Told { what: "store-load", text: get("name").0 },
        "overfull" => Fact::Overfull { runner },
        _ => return None,
    };
    Some((at, fact))
}

pub fn gather(dir: &Path, runners: &[String], callers: Vec<(Time, Fact)>) -> Vec<(Time, Fact)> {
    let mut rows = callers;
    for r in runners {
        let text = std::fs::read_to_string(dir.join(format!("{r}.record"))).unwrap_or_default();
        let mut mine: Vec<(Time, Fact)> = text.lines().filter_map(|l| line(r, l)).collect();
        for n in 0..mine.len() {
            let loaded = matches!(mine.get(n + 1), Some((_, Fact::Told { what: "store-load", .. })));
            if let (true, Fact::Ordered { status, .. }) = (loaded, &mut mine[n].1) {
                *status = 200;
            }
        }
        rows.extend(mine);
    }
    rows.sort_by_key(|r| r.0);
    rows
}

pub fn judge(plan: &Deployment, rows: Vec<(Time, Fact)>, flows: Vec<SimFlow>) -> Vec<String> {
    let mut w = World::new(plan.clone(), 0);
    w.record.rows = rows;
    w.flows = flows;
    check::all(&w)
}

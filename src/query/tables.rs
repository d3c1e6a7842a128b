use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::component::Views;

pub const NAMES: [&str; 7] = ["nodes", "runners", "models", "adapters", "services", "moves", "history"];

pub fn rows(name: &str, views: &Views) -> Option<Vec<Tree>> {
    let s = &views.state;
    let tree = s.config.tree();
    Some(match name {
        "nodes" => match crate::chain::operator_reads::nodes(views) {
            Tree::List(rows) => rows,
            _ => vec![],
        },
        "runners" => s.runners.iter().map(|r| r.tree()).collect(),
        "models" | "adapters" => tree.list(name).to_vec(),
        "services" => tree.list(name).iter().map(service).collect(),
        "moves" => s.moves.iter().map(|m| m.tree()).collect(),
        "history" => s.outcomes.iter().map(|o| o.tree()).collect(),
        _ => return None,
    })
}

fn service(t: &Tree) -> Tree {
    let get = |k: &str| t.get(k).cloned().unwrap_or(Tree::Null);
    let count = |k: &str| Tree::from(t.list(k).len() as u64);
    map(&[
        ("name", get("name")),
        ("sort", get("sort")),
        ("inbox", get("inbox")),
        ("slots", get("slots")),
        ("models", count("models")),
        ("adapters", count("adapters")),
        ("routes", count("routes")),
    ])
}

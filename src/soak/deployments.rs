//! The fleets of a soak: little room for many models, so that weights come and go all the time.

use crate::json::Tree;
use crate::json::tree::map;
use crate::launch::deployment::{self, Deployment};

/// The models that no change withdraws: those that adapters build on come first.
const FIXED_MODELS: usize = 5;
/// How many models the first configuration doesn't offer.
const SPARE_MODELS: usize = 8;

/// How many requests a runner works on at once: so few that requests often wait for one.
pub const SLOTS: u64 = 3;

/// The fleet whose configuration says how few slots its runners have.
fn with_few_slots(plan: Deployment) -> Deployment {
    let mut config = Tree::parse(&plan.config()).unwrap_or(Tree::Null);
    let service = map(&[("name", "assistant".into()), ("slots", SLOTS.into())]);
    config.merge(map(&[("services", Tree::List(vec![service]))]));
    Deployment { text: Some(config.to_string()), ..plan }
}

/// Fourteen processes.
pub fn small() -> Deployment {
    with_few_slots(fourteen())
}

fn fourteen() -> Deployment {
    Deployment {
        routers: 4,
        core: 3,
        assistants: 6,
        plains: 1,
        models: 14,
        adapters: 4,
        room_mb: 44_000,
        ..deployment::small()
    }
}

/// As many processes as the smaller of the users' sites has.
pub fn users() -> Deployment {
    with_few_slots(Deployment { routers: 12, core: 4, assistants: 20, plains: 4, models: 44, ..fourteen() })
}

/// As many processes as a machine of eight cores and 24 GiB bears.
pub fn many() -> Deployment {
    with_few_slots(Deployment {
        routers: 60,
        core: 5,
        assistants: 105,
        plains: 16,
        models: 200,
        ..fourteen()
    })
}

/// The models that changes may withdraw.
pub fn swappable(plan: &Deployment) -> Vec<String> {
    (FIXED_MODELS..plan.models).map(|n| plan.model(n)).collect()
}

/// The models that changes may offer in their place.
pub fn spare() -> Vec<String> {
    (0..SPARE_MODELS).map(|n| format!("s{n:02}")).collect()
}

/// The entry of a model of [`spare`], or of one that the first configuration has.
pub fn model_entry(plan: &Deployment, name: &str) -> Tree {
    let config = Tree::parse(&plan.config()).unwrap_or(Tree::Null);
    if let Some(row) = config.list("models").iter().find(|row| row.text("name") == Some(name)) {
        return row.clone();
    }
    let n = spare().iter().position(|spare| spare == name).unwrap_or(0) as u64;
    let weight_mb = 8000 + n * 3 % 5 * 4000;
    let load_ms = 500 + weight_mb / 20;
    map(&[("name", name.into()), ("weight_mb", weight_mb.into()), ("load_ms", load_ms.into())])
}

/// What the stand-in runners know: every model that is ever offered.
pub fn catalog(plan: &Deployment) -> String {
    let mut config = Tree::parse(&plan.config()).unwrap_or(Tree::Null);
    let models = spare().iter().map(|name| model_entry(plan, name)).collect();
    config.merge(map(&[("models", Tree::List(models))]));
    config.to_string()
}

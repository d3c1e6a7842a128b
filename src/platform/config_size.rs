//! The size of a configuration as the platform's users write it, taken before the rest of it is read.
#![deny(missing_docs)]

use super::merge::TENANTS;
use crate::fleet::size_limits::{ConfigSize, MAX_NAME_BYTES};
use crate::json::Tree;
use crate::kernel::fault::{Fault, Kind};

/// The size of the configuration that a document of so many bytes describes.
pub fn of(tree: &Tree, bytes: usize) -> ConfigSize {
    let services = tree.list("Backends");
    let models = services.iter().filter_map(|s| Some(s.get("Engine")?.list("Models")));
    let adapters = models.clone().flatten().map(|m| m.float("Adapters").unwrap_or(0.0) as usize);
    ConfigSize {
        bytes,
        services: services.len(),
        routes: tree.list("RouteMap").len(),
        models: models.map(<[Tree]>::len).sum(),
        adapters: adapters.fold(0, usize::saturating_add),
        tenants: tree.list(TENANTS).len(),
    }
}

/// The name of an item; `None` if it has none or one that is too long, which is a fault.
pub fn name<'a>(item: &'a Tree, place: &str, faults: &mut Vec<Fault>) -> Option<&'a str> {
    let name = item.text("Name")?;
    if name.len() <= MAX_NAME_BYTES {
        return Some(name);
    }
    let what = format!("a name is {} bytes long", name.len());
    let remedy = format!("shorten it to {MAX_NAME_BYTES} bytes");
    faults.push(Fault::new(Kind::Config, place, what, remedy));
    None
}

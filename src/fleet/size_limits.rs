//! How large a configuration may be, so that the nodes that hold it stay within their memory.
#![deny(missing_docs)]

use crate::kernel::fault::{Fault, Kind};

/// The size of a configuration, as far as it is limited.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ConfigSize {
    /// The bytes of its document.
    pub bytes: usize,
    /// How many services it has.
    pub services: usize,
    /// How many routes it has.
    pub routes: usize,
    /// How many models it has.
    pub models: usize,
    /// How many adapters it has.
    pub adapters: usize,
    /// How many tenants it has.
    pub tenants: usize,
}

/// The largest configuration.
pub const MAX_CONFIG_SIZE: ConfigSize = ConfigSize {
    bytes: 4 << 20,
    services: 2_000,
    routes: 20_000,
    models: 5_000,
    adapters: 50_000,
    tenants: 20_000,
};

/// The longest name of a service or a model in bytes. Names outlive their configuration in the replicated state.
pub const MAX_NAME_BYTES: usize = 256;

impl ConfigSize {
    /// A fault for each figure that is over its limit.
    pub fn check(&self) -> Vec<Fault> {
        let max = MAX_CONFIG_SIZE;
        let figures = [
            ("bytes", self.bytes, max.bytes),
            ("services", self.services, max.services),
            ("routes", self.routes, max.routes),
            ("models", self.models, max.models),
            ("adapters", self.adapters, max.adapters),
            ("tenants", self.tenants, max.tenants),
        ];
        let beyond = figures.iter().filter(|(_, size, max)| size > max);
        beyond.map(|(what, size, max)| over_limit(what, *size, *max)).collect()
    }
}

fn over_limit(what: &str, size: usize, max: usize) -> Fault {
    let text = format!("has {size} {what}, over {max}");
    Fault::new(Kind::Config, "configuration", text, format!("use at most {max} {what}"))
}

//! The weights of models and adapters of earlier configurations: of names that a change withdrew or gave
//! another weight.
//!
//! A runner holds what it was ordered to load until it is ordered to unload it, whatever the configuration
//! says meanwhile. Its free room is computed from these weights too, so they are part of the replicated state
//! and survive the holder of the placement duty and every restart.
#![deny(missing_docs)]

use super::config::FleetConfig;
use super::named::{Named, NamedList};
use crate::kernel::ids::Name;
use bitcode::{Decode, Encode};

/// The number of names that are remembered; beyond it the oldest are forgotten. A runner that holds a
/// forgotten name counts as full.
pub const MAX_FORMER_WEIGHTS: usize = 4096;

/// The weights that a model or adapter had in earlier configurations.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct FormerWeight {
    /// Its name.
    pub name: Name,
    /// The smallest weight that it had, in MB.
    pub min_mb: u64,
    /// The largest weight that it had, in MB.
    pub max_mb: u64,
    /// The model that it belonged to, if it was an adapter.
    pub base: Option<Name>,
}

impl Named for FormerWeight {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl FormerWeight {
    fn of(name: &Name, mb: u64, base: Option<&Name>) -> FormerWeight {
        FormerWeight { name: name.clone(), min_mb: mb, max_mb: mb, base: base.cloned() }
    }
}

/// The former weights once `new` replaces `old`.
pub fn remembered(old: &FleetConfig, new: &FleetConfig) -> NamedList<FormerWeight> {
    if old.models == new.models && old.adapters == new.adapters {
        return old.former.clone();
    }
    let models = old.models.iter().map(|m| FormerWeight::of(&m.name, m.weight_mb, None));
    let adapters = old.adapters.iter().map(|a| FormerWeight::of(&a.name, a.weight_mb, Some(&a.model)));
    let changed = models.chain(adapters).filter(|f| new.weight(&f.name) != Some(f.max_mb));
    let mut rows: Vec<FormerWeight> = old.former.to_vec();
    for mut former in changed {
        if let Some(known) = old.former.named(&former.name) {
            former.min_mb = former.min_mb.min(known.min_mb);
            former.max_mb = former.max_mb.max(known.max_mb);
            rows.retain(|f| f.name != former.name);
        }
        rows.push(former);
    }
    let surplus = rows.len().saturating_sub(MAX_FORMER_WEIGHTS);
    rows.drain(..surplus);
    rows.into()
}

impl FleetConfig {
    /// The most memory that a runner's copy of `name` may take, whichever configuration it was loaded
    /// under, in MB; `None` if the name is not known.
    pub fn max_mb(&self, name: &Name) -> Option<u64> {
        let former = self.former.named(name).map(|f| f.max_mb);
        self.weight(name).max(former)
    }

    /// The least memory that unloading a runner's copy of `name` frees, in MB; `None` if the name is not
    /// known.
    pub fn min_mb(&self, name: &Name) -> Option<u64> {
        let former = self.former.named(name).map(|f| f.min_mb);
        match (self.weight(name), former) {
            (Some(now), Some(former)) => Some(now.min(former)),
            (now, former) => now.or(former),
        }
    }

    /// The model that an adapter belongs to, also if the adapter was withdrawn.
    pub fn base_of(&self, name: &Name) -> Option<&Name> {
        match self.adapter(name) {
            Some(adapter) => Some(&adapter.model),
            None if self.model(name).is_some() => None,
            None => self.former.named(name).and_then(|f| f.base.as_ref()),
        }
    }
}

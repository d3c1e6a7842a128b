//! The services of a process by name, for drivers that look them up at run time.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};

/// A service of the process.
pub trait Service: Any + Send + Sync {
    /// Its name, unique in the registry.
    fn name(&self) -> &'static str;
}

/// The services of a process.
#[derive(Default)]
pub struct Registry {
    rows: RwLock<BTreeMap<&'static str, Arc<dyn Service>>>,
}

impl Registry {
    /// Adds a service, or replaces the one of the same name.
    pub fn add(&self, s: Arc<dyn Service>) {
        self.rows.write().unwrap().insert(s.name(), s);
    }

    /// The service of this name, if it has type `T`.
    pub fn find<T: Service>(&self, name: &str) -> Option<Arc<T>> {
        let row = self.rows.read().unwrap().get(name)?.clone();
        let any: Arc<dyn Any + Send + Sync> = row;
        any.downcast::<T>().ok()
    }

    /// The names of all services.
    pub fn names(&self) -> Vec<&'static str> {
        self.rows.read().unwrap().keys().copied().collect()
    }
}

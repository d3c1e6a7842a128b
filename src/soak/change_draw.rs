//! The changes of a schedule, each possible after those before it.

use super::deployments;
use super::step::ConfigChange;
use crate::launch::deployment::Deployment;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws changes.
pub struct ChangeDraw {
    routes: u64,
    /// The routes that were added and not dropped.
    routes_there: Vec<u64>,
    offered: Vec<String>,
    spare: Vec<String>,
}

impl ChangeDraw {
    /// Draws changes of this fleet's first configuration.
    pub fn new(plan: &Deployment) -> ChangeDraw {
        let (offered, spare) = (deployments::swappable(plan), deployments::spare());
        ChangeDraw { routes: 0, routes_there: Vec::new(), offered, spare }
    }

    /// The next change.
    pub fn next(&mut self, random: &mut ChaCha8Rng) -> ConfigChange {
        self.routes += 1;
        match random.random_range(0..6) {
            0 | 1 => self.swap(random),
            2 if !self.routes_there.is_empty() => {
                let at = random.random_range(0..self.routes_there.len());
                ConfigChange::DropRoute(self.routes_there.remove(at))
            }
            3 => ConfigChange::Invalid(self.routes),
            4 => ConfigChange::Race(self.routes),
            _ => {
                self.routes_there.push(self.routes);
                ConfigChange::AddRoute(self.routes)
            }
        }
    }

    fn swap(&mut self, random: &mut ChaCha8Rng) -> ConfigChange {
        let out = random.random_range(0..self.offered.len());
        let back = random.random_range(0..self.spare.len());
        let offered = self.spare.remove(back);
        let withdrawn = std::mem::replace(&mut self.offered[out], offered.clone());
        self.spare.push(withdrawn.clone());
        ConfigChange::Swap { withdrawn, offered }
    }
}

//! Defaults of the configuration.

use super::config::*;

impl Default for Limits {
    fn default() -> Limits {
        Limits { head_bytes: 64 << 10, body_bytes: 64 << 20, head_ms: 10_000, idle_ms: 60_000 }
    }
}

impl Default for Store {
    fn default() -> Store {
        Store {
            loads_per_minute: 60,
            burst: 4,
            window_ms: 0,
            most: 0,
            at_once: 0,
            kept_ms: 0,
            adapters: true,
        }
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { percent: 20, allowance: 10 }
    }
}

impl Default for Moving {
    fn default() -> Moving {
        Moving {
            gap: 4,
            rounds: 4,
            round_ms: 5000,
            cut_ms: 1000,
            load: Allowance { ms: 20_000, tries: 2 },
            warm: Allowance { ms: 20_000, tries: 48 },
            unload: Allowance { ms: 60_000, tries: 3 },
        }
    }
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        PlacementSettings {
            auto: true,
            way: PlacementStrategy::Least,
            stage: Allowance { ms: 60_000, tries: 3 },
        }
    }
}

impl Default for Rollout {
    fn default() -> Rollout {
        Rollout {
            deliver: Allowance { ms: 5000, tries: 3 },
            rehearse: Allowance { ms: 5000, tries: 3 },
            refused_percent: 5,
            samples: Vec::new(),
        }
    }
}

//! An estimate of the prompt prefixes that runners have cached, from what this router sent them.

use super::order::RequestSpec;
use crate::kernel::ids::Name;
use crate::kernel::rand::mix;
use std::collections::{HashMap, VecDeque};

/// Most prompt parts remembered for a runner.
const MAX_PARTS_PER_RUNNER: usize = 4096;

/// Prompt parts that each runner was sent lately, by weights.
#[derive(Default, Debug)]
pub struct PromptCaches {
    by_runner: HashMap<Name, RunnerPromptCache>,
}

#[derive(Default, Debug)]
struct RunnerPromptCache {
    tokens_by_part: HashMap<u64, u32>,
    oldest_first: VecDeque<u64>,
}

/// The keys of the prompt parts: each depends on the weights and on all parts before it.
fn keys(spec: &RequestSpec) -> impl Iterator<Item = (u64, u32)> + '_ {
    let mut at = crate::kernel::rand::hash(&spec.model, crate::kernel::rand::hash(&spec.adapter, 7));
    spec.prompt_parts.iter().map(move |(id, n)| {
        at = mix(at ^ mix(*id));
        (at, *n)
    })
}

impl PromptCaches {
    /// Tokens of the leading prompt parts that the runner has probably cached.
    pub fn cached_tokens(&self, runner: &Name, spec: &RequestSpec) -> u32 {
        let Some(shelf) = self.by_runner.get(runner) else { return 0 };
        keys(spec).take_while(|(k, _)| shelf.tokens_by_part.contains_key(k)).map(|(_, n)| n).sum()
    }

    /// Records the prompt as sent to a runner.
    pub fn record_sent(&mut self, runner: &Name, spec: &RequestSpec) {
        if spec.prompt_parts.is_empty() {
            return;
        }
        let shelf = self.by_runner.entry(runner.clone()).or_default();
        for (k, n) in keys(spec) {
            if shelf.tokens_by_part.insert(k, n).is_none() {
                shelf.oldest_first.push_back(k);
            }
        }
        while shelf.oldest_first.len() > MAX_PARTS_PER_RUNNER {
            if let Some(old) = shelf.oldest_first.pop_front() {
                shelf.tokens_by_part.remove(&old);
            }
        }
    }

    /// Forgets runners that are no longer listed.
    pub fn retain_runners(&mut self, listed: &dyn Fn(&Name) -> bool) {
        self.by_runner.retain(|n, _| listed(n));
    }
}

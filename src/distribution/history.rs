//! The newest content of a topic, and the last steps that led to it.

use super::delta::Delta;
use crate::fleet::slice::Slice;
use crate::kernel::ids::Version;
use bitcode::{Decode, Encode};
use std::collections::VecDeque;
use std::sync::Arc;

/// How many steps are kept.
const MAX_STEPS: usize = 16;

/// A step from one version of a topic to the next.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct DeltaStep {
    /// The version before.
    pub from: Version,
    /// The version after.
    pub at: Version,
    /// The checksum of the content after, which the receiver verifies.
    pub checksum: u32,
    /// The difference.
    pub delta: Delta,
}

/// The content of an update, relative to what the receiver has.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum UpdateBody {
    /// Nothing has changed.
    Same,
    /// The whole content.
    Whole(Arc<Slice>),
    /// The steps from the receiver's version.
    Steps(Vec<Arc<DeltaStep>>),
}

/// The newest content of a topic and the steps to it.
#[derive(Clone, Default)]
pub struct ChangeHistory {
    /// The version of the content.
    pub at: Version,
    /// The content.
    pub slice: Option<Arc<Slice>>,
    steps: VecDeque<(Arc<DeltaStep>, usize)>,
    size: usize,
}

impl ChangeHistory {
    /// Replaces the content with that of a newer version, and keeps the step to it. Without a step the
    /// older ones are dropped.
    pub fn advance(&mut self, at: Version, slice: Arc<Slice>) {
        let raw = bitcode::encode(&*slice);
        let (from, checksum) = (self.at, crc32fast::hash(&raw));
        let old = self.slice.as_ref().filter(|_| from < at);
        match old.and_then(|old| Delta::of(old, &slice)) {
            Some(delta) => self.push(DeltaStep { from, at, checksum, delta }),
            None => self.steps.clear(),
        }
        (self.at, self.size, self.slice) = (at, raw.len(), Some(slice));
    }

    fn push(&mut self, step: DeltaStep) {
        let size = bitcode::encode(&step).len();
        self.steps.push_back((Arc::new(step), size));
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// Applies the steps that follow the current version; returns false, and changes nothing, if they don't
    /// fit or the checksum differs.
    pub fn apply_steps(&mut self, steps: &[Arc<DeltaStep>]) -> bool {
        let first = steps.iter().position(|s| s.from == self.at);
        let (Some(first), Some(old)) = (first, &self.slice) else { return false };
        let mut slice = Slice::clone(old);
        let mut at = self.at;
        for s in &steps[first..] {
            let Some(new) = s.delta.apply(&slice).filter(|_| s.from == at) else { return false };
            (slice, at) = (new, s.at);
        }
        let raw = bitcode::encode(&slice);
        if steps.last().is_none_or(|s| s.checksum != crc32fast::hash(&raw)) {
            return false;
        }
        steps[first..].iter().for_each(|s| self.push(DeltaStep::clone(s)));
        (self.at, self.size, self.slice) = (at, raw.len(), Some(Arc::new(slice)));
        true
    }

    /// What a receiver with version `old` needs: the steps if they are kept and smaller than the whole.
    pub fn update_since(&self, old: Version) -> UpdateBody {
        let Some(slice) = &self.slice else { return UpdateBody::Same };
        if old == self.at && old > Version(0) {
            return UpdateBody::Same;
        }
        let first = self.steps.iter().position(|s| s.0.from == old && old > Version(0));
        let steps = first.map(|n| self.steps.range(n..));
        match steps.filter(|s| s.clone().map(|s| s.1).sum::<usize>() < self.size) {
            Some(steps) => UpdateBody::Steps(steps.map(|s| s.0.clone()).collect()),
            None => UpdateBody::Whole(slice.clone()),
        }
    }
}

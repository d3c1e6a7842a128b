//! A folder whose machine can lose its power: every file and every name is then kept, torn or lost by itself,
//! unless a sync has covered it.
#![deny(missing_docs)]

pub use super::folder_steps::Files;
use super::folder_steps::{FATES, Fate, Step, apply, covers, halved};
use crate::kernel::folder::Folder;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Default)]
struct State {
    /// What the process sees.
    files: Files,
    /// What stood on the disk before the pending steps.
    durable: Files,
    pending: Vec<Step>,
    /// How many of the pending steps have reached the disk for certain: no loss of power comes before them.
    reached: usize,
    full: bool,
    /// The steps that still succeed before one fails.
    steps_left: Option<usize>,
}

/// The folder of one machine; clones are the same folder.
#[derive(Clone, Default)]
pub struct SimFolder(Arc<Mutex<State>>);

impl SimFolder {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread of the simulator fails while it holds a folder")
    }

    /// The files that the process sees.
    pub fn files(&self) -> Files {
        self.state().files.clone()
    }

    /// Puts other files in the place of all, synced.
    pub fn set_files(&self, files: Files) {
        let mut state = self.state();
        state.files = files.clone();
        state.durable = files;
        state.pending.clear();
        state.reached = 0;
    }

    /// Refuses every write from now on, or takes them again.
    pub fn set_full(&self, full: bool) {
        self.state().full = full;
    }

    /// Whether it refuses every write.
    pub fn is_full(&self) -> bool {
        self.state().full
    }

    /// Lets this many steps succeed; the next one fails (a write halfway), and all others after it succeed again.
    pub fn fail_after(&self, steps: usize) {
        self.state().steps_left = Some(steps);
    }

    /// Whether a failure that was asked for has not come yet.
    pub fn failure_is_due(&self) -> bool {
        self.state().steps_left.is_some()
    }

    /// All steps so far have been carried out by the disk.
    pub fn reach(&self) {
        let mut state = self.state();
        state.reached = state.pending.len();
        state.forget_covered();
    }

    /// A loss of power at a drawn step, with a drawn fate for each step that was not covered.
    pub fn lose_power(&self, mut draw: impl FnMut(u64) -> u64) {
        let state = self.state();
        let later = state.pending.len() - state.reached;
        let done = state.reached + draw(later as u64 + 1) as usize;
        let all_lost = draw(4) == 0;
        let uncovered = state.uncovered(done);
        let fates = uncovered.into_iter().map(|n| (n, FATES[if all_lost { 2 } else { draw(3) as usize }]));
        let fates: BTreeMap<usize, Fate> = fates.collect();
        let left = state.after_loss(done, &fates);
        drop(state);
        self.set_files(left);
    }

    /// What is left when a loss of power takes all that it may.
    pub fn certain(&self) -> Files {
        let state = self.state();
        let open = state.uncovered(state.reached);
        state.after_loss(state.reached, &open.into_iter().map(|n| (n, Fate::Lost)).collect())
    }

    /// Everything that a loss of power may leave, whenever it comes since the last [`SimFolder::reach`].
    pub fn after_any_loss(&self) -> BTreeSet<Vec<(String, Vec<u8>)>> {
        let state = self.state();
        let mut all = BTreeSet::new();
        for done in state.reached..=state.pending.len() {
            let uncovered = state.uncovered(done);
            for mut draw in 0..FATES.len().pow(uncovered.len() as u32) {
                let mut fates = BTreeMap::new();
                for n in &uncovered {
                    fates.insert(*n, FATES[draw % FATES.len()]);
                    draw /= FATES.len();
                }
                all.insert(state.after_loss(done, &fates).into_iter().collect());
            }
        }
        all
    }
}

impl State {
    /// The steps before `done` that no later sync before `done` has covered.
    fn uncovered(&self, done: usize) -> Vec<usize> {
        let is_open =
            |n: &usize| !self.pending[n + 1..done].iter().any(|later| covers(later, &self.pending[*n]));
        let is_change = |n: &usize| !matches!(self.pending[*n], Step::SyncFile(_) | Step::SyncFolder);
        (0..done).filter(is_change).filter(is_open).collect()
    }

    fn after_loss(&self, done: usize, fates: &BTreeMap<usize, Fate>) -> Files {
        let mut files = self.durable.clone();
        for (n, step) in self.pending[..done].iter().enumerate() {
            apply(&mut files, step, fates.get(&n).copied().unwrap_or(Fate::Kept));
        }
        files
    }

    fn forget_covered(&mut self) {
        let first = self.uncovered(self.pending.len()).first().copied().unwrap_or(self.pending.len());
        let covered: Vec<Step> = self.pending.drain(..first).collect();
        for step in &covered {
            apply(&mut self.durable, step, Fate::Kept);
        }
        self.reached = self.pending.len();
    }

    fn take(&mut self, step: Step) -> Result<()> {
        let writes = !matches!(step, Step::SyncFile(_) | Step::SyncFolder);
        if self.full && writes {
            return Err(Error::new(ErrorKind::StorageFull, "the disk is full"));
        }
        if self.steps_left == Some(0) {
            self.steps_left = None;
            if let Step::Write { .. } = step {
                apply(&mut self.files, &step, Fate::Torn);
                self.pending.push(halved(step));
            }
            return Err(Error::other("the disk is in trouble"));
        }
        self.steps_left = self.steps_left.map(|left| left - 1);
        apply(&mut self.files, &step, Fate::Kept);
        self.pending.push(step);
        Ok(())
    }
}

impl Folder for SimFolder {
    fn place(&self) -> String {
        "sim disk".into()
    }

    fn names(&self) -> Result<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        let gone = || Error::new(ErrorKind::NotFound, "no such file");
        self.state().files.get(name).cloned().ok_or_else(gone)
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.state();
        if !state.files.contains_key(name) {
            state.take(Step::Make(name.to_string()))?;
        }
        state.take(Step::Write { name: name.to_string(), at: at as usize, bytes: bytes.to_vec() })
    }

    fn set_len(&mut self, name: &str, len: u64) -> Result<()> {
        self.state().take(Step::SetLen(name.to_string(), len as usize))
    }

    fn sync_file(&mut self, name: &str) -> Result<()> {
        self.state().take(Step::SyncFile(name.to_string()))
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.state().take(Step::SyncFolder)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.state().take(Step::Rename(from.to_string(), to.to_string()))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.state().take(Step::Remove(name.to_string()))
    }

    fn room(&self) -> u64 {
        const ROOM_WHEN_NOT_FULL: u64 = 1 << 30;
        if self.state().full { 0 } else { ROOM_WHEN_NOT_FULL }
    }
}

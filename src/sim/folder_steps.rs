//! The steps that change a simulated folder, and what a loss of power makes of them.

use std::collections::BTreeMap;

/// The files of a folder by name.
pub type Files = BTreeMap<String, Vec<u8>>;

/// One operation, in the order in which the process asked for it.
#[derive(Clone, Debug)]
pub enum Step {
    Make(String),
    Write { name: String, at: usize, bytes: Vec<u8> },
    SetLen(String, usize),
    Rename(String, String),
    Remove(String),
    SyncFile(String),
    SyncFolder,
}

/// What a loss of power does to a step that no sync has covered.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Kept,
    Torn,
    Lost,
}

pub const FATES: [Fate; 3] = [Fate::Kept, Fate::Torn, Fate::Lost];

/// Whether a sync makes a change last that came before it.
pub fn covers(sync: &Step, change: &Step) -> bool {
    match (sync, change) {
        (Step::SyncFile(synced), Step::Write { name, .. } | Step::SetLen(name, _)) => synced == name,
        (Step::SyncFolder, Step::Make(_) | Step::Rename(..) | Step::Remove(_)) => true,
        _ => false,
    }
}

/// Does to the files what a step does, as far as its fate lets it.
pub fn apply(files: &mut Files, step: &Step, fate: Fate) {
    match (step, fate) {
        (_, Fate::Lost) | (Step::SyncFile(_) | Step::SyncFolder, _) => {}
        (Step::Make(name), _) => drop(files.entry(name.clone()).or_default()),
        (Step::Write { name, at, bytes }, Fate::Torn) => put(files, name, *at, &bytes[..bytes.len() / 2]),
        (Step::Write { name, at, bytes }, Fate::Kept) => put(files, name, *at, bytes),
        (Step::SetLen(name, len), _) => {
            if let Some(file) = files.get_mut(name) {
                file.resize(*len, 0);
            }
        }
        (Step::Rename(from, to), _) => {
            if let Some(file) = files.remove(from) {
                files.insert(to.clone(), file);
            }
        }
        (Step::Remove(name), _) => drop(files.remove(name)),
    }
}

fn put(files: &mut Files, name: &str, at: usize, bytes: &[u8]) {
    let Some(file) = files.get_mut(name) else { return };
    let end = at + bytes.len();
    if file.len() < end {
        file.resize(end, 0);
    }
    file[at..end].copy_from_slice(bytes);
}

/// A write that failed halfway.
pub fn halved(step: Step) -> Step {
    match step {
        Step::Write { name, at, bytes } => {
            let half = bytes[..bytes.len() / 2].to_vec();
            Step::Write { name, at, bytes: half }
        }
        other => other,
    }
}

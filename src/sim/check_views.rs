//! Judges the agreement on views: one view a number, one proposal a ballot, and votes only for synced members.
#![deny(missing_docs)]

use super::check::Bad;
use super::record::Fact;
use super::world::World;
use crate::chain::view::View;
use crate::kernel::ids::*;
use std::collections::{BTreeMap, BTreeSet};

/// All objections to how views changed.
pub fn views(w: &World) -> Bad {
    let mut bad = Bad::new();
    let installed = one_view_a_number(w, &mut bad);
    one_proposal_a_ballot(w, &mut bad);
    new_voters_were_ready(w, &installed, &mut bad);
    bad
}

fn one_view_a_number<'a>(w: &'a World, bad: &mut Bad) -> BTreeMap<ViewNo, &'a View> {
    let mut installed: BTreeMap<ViewNo, &View> = BTreeMap::new();
    for (_, fact) in &w.record.rows {
        let Fact::ViewInstalled { node, view } = fact else { continue };
        let first = *installed.entry(view.no).or_insert(view);
        if first != view {
            bad.push(format!("11 {node} installed {view}, another {first}"));
        }
    }
    installed
}

/// A ballot is used in one life of its proposer only, and for one view.
fn one_proposal_a_ballot(w: &World, bad: &mut Bad) {
    let mut lives: BTreeMap<(ViewNo, Ballot), u64> = BTreeMap::new();
    let mut views: BTreeMap<(ViewNo, Ballot), &View> = BTreeMap::new();
    for (_, fact) in &w.record.rows {
        match fact {
            Fact::PrepareSent { life, no, ballot }
                if lives.entry((*no, *ballot)).or_insert(*life) != life =>
            {
                bad.push(format!("11 {} used {ballot:?} for {no} again after a restart", ballot.node));
            }
            Fact::AcceptSent { ballot, view } => {
                let first = *views.entry((view.no, *ballot)).or_insert(view);
                if first != view {
                    bad.push(format!("11 {ballot:?} was used for {first} and for {view}"));
                }
            }
            _ => {}
        }
    }
}

/// Who gets a vote by a view was ready in the view before it.
fn new_voters_were_ready(w: &World, installed: &BTreeMap<ViewNo, &View>, bad: &mut Bad) {
    let mut ready: BTreeSet<(ViewNo, NodeId)> = BTreeSet::new();
    for (_, fact) in &w.record.rows {
        if let Fact::MemberReady { node, no } = fact {
            ready.insert((*no, *node));
        }
    }
    for view in installed.values() {
        let Some(old) = view.no.0.checked_sub(1).and_then(|no| installed.get(&ViewNo(no))) else { continue };
        for voter in view.voters.iter().filter(|v| !old.voters.contains(v)) {
            if !ready.contains(&(old.no, *voter)) {
                bad.push(format!("11 {view} gives a vote to {voter}, which was not ready in {old}"));
            }
        }
    }
}

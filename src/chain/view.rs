//! A view: the chain in order, and the voters that decide the next view.
//!
//! Views are numbered, and view n+1 is chosen by a majority of the voters of view n. A view changes either the
//! chain or the voters, with one exception: a member that leaves on purpose passes its vote on in the same view. A
//! vote is given only to a member of the current chain, so no view depends on a voter that has not synced the state
//! yet.
#![deny(missing_docs)]

use crate::kernel::component::LocalNode;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};

/// One numbered configuration of the chain.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct View {
    /// The view number; views are installed in rising order.
    pub no: ViewNo,
    /// The members that replicate the state, head first.
    pub chain: Vec<NodeId>,
    /// The nodes whose majority grants leases in this view and decides the next one.
    pub voters: Vec<NodeId>,
}

impl View {
    /// The member where changes enter.
    pub fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    /// The member that commits changes and answers reads.
    pub fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    /// Whether `node` is a member of the chain.
    pub fn has(&self, node: NodeId) -> bool {
        self.chain.contains(&node)
    }

    /// The member before `node` in the chain, which passes changes to it.
    pub fn predecessor(&self, node: NodeId) -> Option<NodeId> {
        let at = self.chain.iter().position(|n| *n == node)?;
        at.checked_sub(1).map(|k| self.chain[k])
    }

    /// The member after `node` in the chain, to which it passes changes.
    pub fn successor(&self, node: NodeId) -> Option<NodeId> {
        let at = self.chain.iter().position(|n| *n == node)?;
        self.chain.get(at + 1).copied()
    }

    /// The number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members and voters, without duplicates.
    pub fn nodes(&self) -> Vec<NodeId> {
        let mut all = self.chain.clone();
        all.extend(self.voters.iter().filter(|v| !self.chain.contains(v)));
        all
    }

    /// Whether some voter is no longer in the chain, so that its vote can be given to a member.
    pub fn has_vacant_vote(&self) -> bool {
        self.voters.iter().any(|v| !self.chain.contains(v))
    }

    /// The members without a vote, from the tail to the head.
    pub fn without_vote(&self) -> Vec<NodeId> {
        let free = self.chain.iter().copied().filter(|n| !self.voters.contains(n));
        free.rev().collect()
    }

    /// The next view without the members in `lost`; these keep their votes until a member takes them over.
    pub fn without_members(&self, lost: &[NodeId]) -> View {
        let mut next = self.next();
        next.chain.retain(|n| !lost.contains(n));
        next
    }

    /// The next view with `new` at the end of the chain and without a vote. `None` if the chain is full and no vote
    /// is vacant.
    pub fn with_member(&self, new: NodeId, me: &LocalNode) -> Option<View> {
        if self.chain.len() >= me.max_chain_length() && !self.has_vacant_vote() {
            return None;
        }
        let mut next = self.next();
        next.chain.push(new);
        Some(next)
    }

    /// The next view, in which the first of `candidates` take the vacant votes and those that the fleet has not
    /// given out yet. `None` if there is no vote to take.
    pub fn with_votes_for(&self, candidates: &[NodeId], me: &LocalNode) -> Option<View> {
        let mut next = self.next();
        let mut free = next.give_vacant_votes(candidates);
        let step = if me.core_size > 0 { 1 } else { 2 };
        while next.voters.len() + step <= me.voter_count() && free.len() >= step {
            next.voters.extend(free.drain(..step));
        }
        (next.voters != self.voters).then_some(next)
    }

    /// The next view without `leaver`. Its vote goes to the first of `candidates`; it keeps it if there are none.
    pub fn without_leaver(&self, leaver: NodeId, candidates: &[NodeId]) -> View {
        let mut next = self.without_members(&[leaver]);
        next.give_vacant_votes(candidates);
        next
    }

    /// The first view of a fleet, with `chain` as its members.
    pub fn founded(chain: Vec<NodeId>, me: &LocalNode) -> View {
        let mut voters = chain.clone();
        if me.core_size == 0 {
            voters.truncate((chain.len() - 1) / 2 * 2 + 1);
        }
        View { no: ViewNo(1), chain, voters }
    }

    fn next(&self) -> View {
        View { no: self.no.next(), chain: self.chain.clone(), voters: self.voters.clone() }
    }

    /// Gives the votes of nodes outside the chain to `candidates`, and returns the candidates left over.
    fn give_vacant_votes(&mut self, candidates: &[NodeId]) -> Vec<NodeId> {
        let mut free = candidates.to_vec();
        for voter in &mut self.voters {
            if !self.chain.contains(voter) && !free.is_empty() {
                *voter = free.remove(0);
            }
        }
        free
    }
}

impl std::fmt::Display for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = |rows: &[NodeId]| rows.iter().map(|n| n.to_string()).collect::<Vec<_>>().join(">");
        write!(f, "{}:{}/{}", self.no, text(&self.chain), text(&self.voters))
    }
}

use crate::kernel::component::Me;
use crate::kernel::ids::*;
use bitcode::{Decode, Encode};

#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct View {
    pub no: ViewNo,
    pub chain: Vec<NodeId>,
    pub voters: Vec<NodeId>,
}

impl View {
    pub fn head(&self) -> Option<NodeId> {
        self.chain.first().copied()
    }

    pub fn tail(&self) -> Option<NodeId> {
        self.chain.last().copied()
    }

    pub fn has(&self, node: NodeId) -> bool {
        self.chain.contains(&node)
    }

    pub fn before(&self, node: NodeId) -> Option<NodeId> {
        let at = self.chain.iter().position(|n| *n == node)?;
        at.checked_sub(1).map(|k| self.chain[k])
    }

    pub fn after(&self, node: NodeId) -> Option<NodeId> {
        let at = self.chain.iter().position(|n| *n == node)?;
        self.chain.get(at + 1).copied()
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn all(&self) -> Vec<NodeId> {
        let mut all = self.chain.clone();
        all.extend(self.voters.iter().filter(|v| !self.chain.contains(v)));
        all
    }

    pub fn without(&self, lost: &[NodeId]) -> View {
        let mut next = self.next();
        next.chain.retain(|n| !lost.contains(n));
        next
    }

    pub fn with(&self, new: NodeId, me: &Me) -> Option<View> {
        let vacant = self.voters.iter().any(|v| !self.chain.contains(v));
        if self.chain.len() >= me.most() && !vacant {
            return None;
        }
        let mut next = self.next();
        next.chain.push(new);
        next.fill(me);
        Some(next)
    }

    pub fn with_votes_filled(&self, me: &Me) -> Option<View> {
        let mut next = self.next();
        next.fill(me);
        (next.voters != self.voters).then_some(next)
    }

    pub fn founded(chain: Vec<NodeId>, me: &Me) -> View {
        let mut voters = chain.clone();
        if me.core == 0 {
            voters.truncate((chain.len() - 1) / 2 * 2 + 1);
        }
        View { no: ViewNo(1), chain, voters }
    }

    fn next(&self) -> View {
        View { no: self.no.next(), chain: self.chain.clone(), voters: self.voters.clone() }
    }

    fn fill(&mut self, me: &Me) {
        let mut free: Vec<NodeId> =
            self.chain.iter().copied().filter(|n| !self.voters.contains(n)).rev().collect();
        for acceptor in &mut self.voters {
            if !self.chain.contains(acceptor) && !free.is_empty() {
                *acceptor = free.remove(0);
            }
        }
        let step = if me.core > 0 { 1 } else { 2 };
        while self.voters.len() + step <= me.votes() && free.len() >= step {
            self.voters.extend(free.drain(..step));
        }
    }
}

impl std::fmt::Display for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = |rows: &[NodeId]| rows.iter().map(|n| n.to_string()).collect::<Vec<_>>().join(">");
        write!(f, "{}:{}/{}", self.no, text(&self.chain), text(&self.voters))
    }
}

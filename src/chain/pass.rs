use super::core::Chain;
use super::log::Fit;
use crate::kernel::ids::*;
use crate::kernel::part::Kit;
use crate::msg::*;
use std::sync::Arc;

const BATCH: usize = 64;

impl Chain {
    pub fn submit(&mut self, change: &Shared, kit: &mut Kit) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_head() || !self.ready || view.chain.len() < kit.me.need() {
            return;
        }
        let entry = Entry { at: self.log.last().next(), view: view.no, change: (**change).clone() };
        self.keep(entry.clone(), kit);
        self.commit_if_tail(kit);
        if let Some(next) = view.after(self.ident) {
            let upto = self.log.last();
            kit.chain(next, ChainMsg::Append { view: view.no, first: false, upto, entries: vec![entry] });
        }
    }

    pub fn keep(&mut self, entry: Entry, kit: &mut Kit) {
        kit.save(Record::Entry { entry: Box::new(entry.clone()) });
        self.log.rows.push_back(entry);
    }

    pub fn greet(&mut self, kit: &mut Kit) {
        let Some(view) = &self.view else { return };
        let Some(next) = view.after(self.ident) else { return };
        let upto = self.log.last();
        kit.chain(next, ChainMsg::Append { view: view.no, first: true, upto, entries: vec![] });
    }

    pub fn report(&mut self, kit: &mut Kit) {
        let Some(view) = &self.view else { return };
        let Some(prev) = view.before(self.ident) else { return };
        let (view, synced, done, low) = (view.no, self.log.last(), self.done, self.lowest());
        kit.chain(prev, ChainMsg::Have { view, synced, done, low });
    }

    pub fn append(&mut self, from: NodeId, no: ViewNo, upto: Version, rows: &[Entry], kit: &mut Kit) {
        let Some(view) = self.view.clone() else { return };
        if view.no != no || view.before(self.ident) != Some(from) {
            return;
        }
        for e in rows {
            match self.log.fit(e) {
                Fit::Next => self.keep(e.clone(), kit),
                Fit::Known => {}
                Fit::Gap => break,
                Fit::Clash => {
                    let why = format!("entry {} differs from the one before it in the chain", e.at);
                    kit.out.push(Effect::Reset(why));
                    return;
                }
            }
        }
        let last = self.log.last();
        if !self.ready && last >= upto {
            self.ready = true;
            self.ready_in = Some(no);
            kit.save(Record::Ready { view: no });
            kit.say("chain-ready", format!("{last} in {no}"));
        }
        if let (Some(next), false) = (view.after(self.ident), rows.is_empty()) {
            let entries = rows.to_vec();
            kit.chain(next, ChainMsg::Append { view: no, first: false, upto: last, entries });
        }
        self.commit_if_tail(kit);
        self.report(kit);
    }

    pub fn have(&mut self, from: NodeId, msg: &ChainMsg, kit: &mut Kit) {
        let ChainMsg::Have { view: no, synced, done, low } = *msg else { return };
        let Some(view) = self.view.clone() else { return };
        if view.no != no || view.after(self.ident) != Some(from) {
            return;
        }
        if synced > self.log.last() {
            let why = format!("the next in the chain holds {synced}, this node only {}", self.log.last());
            kit.out.push(Effect::Reset(why));
            return;
        }
        self.below = synced;
        self.low = self.low.max(low);
        self.fold_to(done, kit);
        if synced == self.log.last() {
            return;
        }
        match self.log.after(synced, BATCH) {
            Some(entries) => {
                let upto = self.log.last();
                kit.chain(from, ChainMsg::Append { view: no, first: false, upto, entries });
            }
            None => {
                let at = self.done;
                let state = Box::new(kit.views.state.clone());
                kit.chain(from, ChainMsg::Snapshot { at, state });
            }
        }
    }

    pub fn commit_if_tail(&mut self, kit: &mut Kit) {
        if self.is_tail() && self.ready {
            self.fold_to(self.log.last(), kit);
        }
    }

    pub fn fold_to(&mut self, upto: Version, kit: &mut Kit) {
        let before = self.done;
        while self.done < upto {
            let Some(e) = self.log.get(self.done.next()) else { break };
            let (at, change) = (e.at, Arc::new(e.change.clone()));
            self.done = at;
            kit.note(Note::Fold { at, change });
        }
        if self.done != before && !self.is_tail() {
            self.report(kit);
        }
    }
}

pub type Shared = Arc<crate::fleet::state::Change>;

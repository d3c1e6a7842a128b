use super::core::Chain;
use super::replication_log::Fit;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::msg::*;
use std::sync::Arc;

const BATCH: usize = 64;

impl Chain {
    pub fn submit(&mut self, change: &Shared, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_head() || !self.ready || view.chain.len() < ctx.me.need() {
            return;
        }
        let entry = Entry { at: self.log.last().next(), view: view.no, change: (**change).clone() };
        self.append_entry(entry.clone(), ctx);
        self.commit_if_tail(ctx);
        if let Some(next) = view.after(self.ident) {
            let upto = self.log.last();
            ctx.chain(next, ChainMsg::Append { view: view.no, first: false, upto, entries: vec![entry] });
        }
    }

    pub fn append_entry(&mut self, entry: Entry, ctx: &mut Context) {
        ctx.save(Record::Entry { entry: Box::new(entry.clone()) });
        self.log.entries.push_back(entry);
    }

    pub fn announce(&mut self, ctx: &mut Context) {
        let Some(view) = &self.view else { return };
        let Some(next) = view.after(self.ident) else { return };
        let upto = self.log.last();
        ctx.chain(next, ChainMsg::Append { view: view.no, first: true, upto, entries: vec![] });
    }

    pub fn report_progress(&mut self, ctx: &mut Context) {
        let Some(view) = &self.view else { return };
        let Some(prev) = view.before(self.ident) else { return };
        let (view, synced) = (view.no, self.log.last());
        let chain_synced = if self.ready { self.lowest() } else { Version(0) };
        let committed = self.committed;
        ctx.chain(prev, ChainMsg::Progress { view, synced, committed, chain_synced });
    }

    pub fn append(&mut self, from: NodeId, no: ViewNo, upto: Version, rows: &[Entry], ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if view.no != no || view.before(self.ident) != Some(from) {
            return;
        }
        for e in rows {
            match self.log.fit(e) {
                Fit::Next => self.append_entry(e.clone(), ctx),
                Fit::Known => {}
                Fit::Gap => break,
                Fit::Clash => {
                    let why = format!("entry {} differs from the one before it in the chain", e.at);
                    ctx.out.push(Effect::Reset(why));
                    return;
                }
            }
        }
        let last = self.log.last();
        if !self.ready && last >= upto {
            self.ready = true;
            self.ready_since = ctx.now;
            self.save_ready(no, ctx);
            ctx.log_event("chain-ready", format!("{last} in {no}"));
        }
        if let (Some(next), false) = (view.after(self.ident), rows.is_empty()) {
            let entries = rows.to_vec();
            ctx.chain(next, ChainMsg::Append { view: no, first: false, upto: last, entries });
        }
        self.commit_if_tail(ctx);
        self.report_progress(ctx);
    }

    pub fn have(&mut self, from: NodeId, msg: &ChainMsg, ctx: &mut Context) {
        let ChainMsg::Progress { view: no, synced, committed, chain_synced } = *msg else { return };
        let Some(view) = self.view.clone() else { return };
        if view.no != no || view.after(self.ident) != Some(from) {
            return;
        }
        if synced > self.log.last() {
            let why = format!("the next in the chain holds {synced}, this node only {}", self.log.last());
            ctx.out.push(Effect::Reset(why));
            return;
        }
        self.successor_synced = synced;
        self.chain_synced = self.chain_synced.max(chain_synced);
        self.apply_up_to(committed, ctx);
        if synced == self.log.last() {
            return;
        }
        match self.log.after(synced, BATCH) {
            Some(entries) => {
                let upto = self.log.last();
                ctx.chain(from, ChainMsg::Append { view: no, first: false, upto, entries });
            }
            None => {
                let at = self.committed;
                let state = Box::new(ctx.views.state.clone());
                ctx.chain(from, ChainMsg::Snapshot { at, state });
            }
        }
    }

    pub fn commit_if_tail(&mut self, ctx: &mut Context) {
        if self.is_tail() && self.ready {
            self.apply_up_to(self.log.last(), ctx);
        }
    }

    pub fn apply_up_to(&mut self, upto: Version, ctx: &mut Context) {
        let before = self.committed;
        while self.committed < upto {
            let Some(e) = self.log.get(self.committed.next()) else { break };
            let (at, change) = (e.at, Arc::new(e.change.clone()));
            self.committed = at;
            ctx.publish(JournalEvent::Committed { at, change });
        }
        if self.committed != before && !self.is_tail() {
            self.report_progress(ctx);
        }
    }
}

pub type Shared = Arc<crate::fleet::state::Change>;

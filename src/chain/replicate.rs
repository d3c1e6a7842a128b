//! Replication: entries travel down the chain to the tail, progress reports travel back up to the head.

use super::core::Chain;
use super::heartbeat::MIN_WRITE_BYTES;
use super::replication_log::EntryFit;
use crate::kernel::component::Context;
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::msg::*;
use std::sync::Arc;

/// Entries without progress for this long are sent again.
const RESEND_AFTER: Span = Span::ms(200);
/// A snapshot without progress for this long is sent again.
const RESEND_SNAPSHOT_AFTER: Span = Span::ms(600);

/// What the next member of the chain has synced, and what was sent to it.
#[derive(Clone, Default)]
pub struct SuccessorProgress {
    synced: Version,
    sent: Version,
    /// Since when sent entries have waited without any progress.
    waits_since: Time,
}

impl SuccessorProgress {
    fn note_synced(&mut self, synced: Version, now: Time) {
        if synced > self.synced {
            self.synced = synced;
            self.waits_since = now;
        }
    }

    /// Records that all entries up to `upto` were sent, and none after it.
    fn note_sent(&mut self, upto: Version, now: Time) {
        if self.sent <= self.synced {
            self.waits_since = now;
        }
        self.sent = upto;
    }

    /// The last entry sent, and since when it waits: together they decide about a resend.
    pub fn under_way(&self) -> (Version, Time) {
        (self.sent, self.waits_since)
    }

    /// Whether the entry directly follows what was sent.
    fn is_next(&self, at: Version) -> bool {
        at == self.sent.max(self.synced).next()
    }

    fn is_under_way(&self, now: Time, span: Span) -> bool {
        self.sent > self.synced && now.since(self.waits_since) < span
    }
}

impl Chain {
    /// On the head: appends a change to the log and sends it down the chain. Drops it if the head is not ready, the
    /// chain has too few members, or there is no room.
    pub fn submit(&mut self, change: &SharedChange, ctx: &mut Context) {
        let Some(view) = self.view.clone() else { return };
        if !self.is_head()
            || !self.is_ready
            || view.chain.len() < ctx.me.required_copies()
            || !self.can_append(ctx)
        {
            return;
        }
        let entry = Entry { at: self.log.last().next(), view: view.no, change: change.clone() };
        self.append_entry(entry.clone(), ctx);
        self.commit_if_tail(ctx);
        if let Some(next) = view.successor(self.node_id) {
            self.forward(next, view.no, vec![entry], ctx);
        }
    }

    /// Passes new entries on at once if the next member lacks none before them. Otherwise its next progress report
    /// leads to `catch_up`.
    fn forward(&mut self, to: NodeId, view: ViewNo, entries: Vec<Entry>, ctx: &mut Context) {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else { return };
        if !self.successor.is_next(first.at) {
            return;
        }
        self.successor.note_sent(last.at, ctx.now);
        let log_last = self.log.last();
        ctx.chain(to, ChainMsg::Append { view, is_announcement: false, log_last, entries });
    }

    fn can_append(&self, ctx: &Context) -> bool {
        ctx.free_disk_bytes >= MIN_WRITE_BYTES && !self.log.is_full()
    }

    /// Saves an entry and appends it to the log.
    pub fn append_entry(&mut self, entry: Entry, ctx: &mut Context) {
        ctx.save(Record::Entry { entry: Box::new(entry.clone()) });
        self.log.push(entry);
    }

    /// Tells the next member the last entry of this log, without entries.
    pub fn announce_log_end(&mut self, ctx: &mut Context) {
        let Some(view) = &self.view else { return };
        let Some(next) = view.successor(self.node_id) else { return };
        let log_last = self.log.last();
        ctx.chain(next, ChainMsg::Append { view: view.no, is_announcement: true, log_last, entries: vec![] });
    }

    /// Reports to the previous member what is synced and committed here.
    pub fn report_progress(&mut self, ctx: &mut Context) {
        let Some(view) = &self.view else { return };
        let Some(prev) = view.predecessor(self.node_id) else { return };
        let (view, synced) = (view.no, self.log.last());
        let synced_to_tail = if self.is_ready { self.synced_to_tail() } else { Version(0) };
        let committed = self.committed;
        ctx.chain(prev, ChainMsg::Progress { view, synced, committed, synced_to_tail });
    }

    /// Appends entries from the previous member, passes them on and reports progress. A member becomes ready once
    /// it holds all entries that its predecessor had. If an entry conflicts with one held here, the node is reset.
    pub fn on_append(
        &mut self,
        from: NodeId,
        view_no: ViewNo,
        log_last: Version,
        rows: &[Entry],
        ctx: &mut Context,
    ) {
        let Some(view) = self.view.clone() else { return };
        if view.no != view_no
            || view.predecessor(self.node_id) != Some(from)
            || ctx.free_disk_bytes < MIN_WRITE_BYTES
        {
            return;
        }
        let mut added = Vec::new();
        for entry in rows {
            match self.log.classify(entry) {
                EntryFit::Next => {
                    self.append_entry(entry.clone(), ctx);
                    added.push(entry.clone());
                }
                EntryFit::AlreadyHeld => {}
                EntryFit::Gap => break,
                EntryFit::Conflict => {
                    let why = format!("entry {} conflicts with the entry of the previous member", entry.at);
                    ctx.effects.push(Effect::Reset(why));
                    return;
                }
            }
        }
        let last = self.log.last();
        if !self.is_ready && last >= log_last {
            self.is_ready = true;
            self.ready_since = ctx.now;
            self.save_ready(view_no, ctx);
            ctx.log_event("chain-ready", format!("{last} in {view_no}"));
        }
        if let Some(next) = view.successor(self.node_id) {
            self.forward(next, view_no, added, ctx);
        }
        self.commit_if_tail(ctx);
        self.report_progress(ctx);
    }

    /// Handles a progress report of the next member. If that member holds entries that are missing here, this node
    /// has lost some, and is reset.
    pub fn on_progress(&mut self, from: NodeId, msg: &ChainMsg, ctx: &mut Context) {
        let ChainMsg::Progress { view: view_no, synced, committed, synced_to_tail } = *msg else { return };
        let Some(view) = self.view.clone() else { return };
        if view.no != view_no || view.successor(self.node_id) != Some(from) {
            return;
        }
        if synced > self.log.last() {
            let why = format!("the next member holds {synced}, this node only {}", self.log.last());
            ctx.effects.push(Effect::Reset(why));
            return;
        }
        self.successor.note_synced(synced, ctx.now);
        self.successor_synced_to_tail = self.successor_synced_to_tail.max(synced_to_tail);
        self.apply_up_to(committed, ctx);
        if synced == self.log.last() {
            return;
        }
        self.catch_up(from, view_no, synced, ctx);
    }

    /// Sends what the next member lacks, unless it was sent lately: entries, or a snapshot if the log begins later.
    fn catch_up(&mut self, to: NodeId, view: ViewNo, synced: Version, ctx: &mut Context) {
        let Some(entries) = self.log.entries_after(synced) else { return self.send_snapshot(to, ctx) };
        if self.successor.is_under_way(ctx.now, RESEND_AFTER) {
            return;
        }
        let log_last = self.log.last();
        if let Some(last) = entries.last() {
            self.successor.waits_since = ctx.now;
            self.successor.note_sent(last.at, ctx.now);
        }
        ctx.chain(to, ChainMsg::Append { view, is_announcement: false, log_last, entries });
    }

    fn send_snapshot(&mut self, to: NodeId, ctx: &mut Context) {
        if self.successor.is_under_way(ctx.now, RESEND_SNAPSHOT_AFTER) {
            return;
        }
        let at = self.committed;
        self.successor.waits_since = ctx.now;
        self.successor.note_sent(at, ctx.now);
        let state = Box::new(ctx.views.state.clone());
        ctx.log_event("snapshot-sent", format!("{at} to {to}"));
        ctx.chain(to, ChainMsg::Snapshot { at, state });
    }

    /// On the ready tail: commits all entries of the log.
    pub fn commit_if_tail(&mut self, ctx: &mut Context) {
        if self.is_tail() && self.is_ready {
            self.apply_up_to(self.log.last(), ctx);
        }
    }

    /// Publishes the entries up to `upto` as committed, as far as they are held here.
    pub fn apply_up_to(&mut self, upto: Version, ctx: &mut Context) {
        let before = self.committed;
        while self.committed < upto {
            let Some(entry) = self.log.get(self.committed.next()) else { break };
            let (at, change) = (entry.at, entry.change.clone());
            self.committed = at;
            ctx.publish(JournalEvent::Committed { at, change });
        }
        if self.committed != before && !self.is_tail() {
            self.report_progress(ctx);
        }
    }
}

/// A change shared between components.
pub type SharedChange = Arc<crate::fleet::state::Change>;

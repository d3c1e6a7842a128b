//! Restoring a member from the records on its disk, writing them anew, and inspecting or restoring a copy offline.

use super::acceptor::Acceptor;
use super::core::Chain;
use super::replication_log::ReplicationLog;
use super::view::View;
use crate::fleet::FleetState;
use crate::kernel::ids::*;
use crate::kernel::time::Time;
use crate::msg::Record;
use std::sync::Arc;

impl Chain {
    /// Applies one record; called for all records in the order in which they were written.
    pub fn restore_record(&mut self, record: Record) {
        match record {
            Record::Ident { node } => self.node_id = node,
            Record::Fleet { fleet } => self.fleet = fleet,
            Record::Pledge { fleet, members } => self.founder.pledge = Some((fleet, members)),
            Record::View { view } => {
                self.acceptor = Acceptor::default();
                self.view = Some(view);
            }
            Record::Promise { view_no, ballot } => self.acceptor.restore_record(view_no, ballot, None),
            Record::Accept { ballot, view } => self.acceptor.restore_record(view.no, ballot, Some(view)),
            Record::Entry { entry } => self.log.push(*entry),
            Record::Snapshot { at, base_view, state } => {
                self.log = ReplicationLog::after_snapshot(at, base_view);
                self.committed = at;
                self.restored_state = Some(Arc::new(*state));
            }
            Record::Ready { view } => self.ready_in_view = Some(view),
            Record::Book { .. } => {}
        }
    }

    /// All records from which this member can be restored, with `state` as the snapshot at the start of the log.
    pub fn records(&self, state: &FleetState) -> Vec<Record> {
        let mut rows = vec![Record::Ident { node: self.node_id }, Record::Fleet { fleet: self.fleet }];
        if let Some((fleet, members)) = &self.founder.pledge {
            rows.push(Record::Pledge { fleet: *fleet, members: members.clone() });
        }
        if let Some(view) = &self.view {
            rows.push(Record::View { view: view.clone() });
        }
        if let Some(view) = self.ready_in_view {
            rows.push(Record::Ready { view });
        }
        rows.extend(self.acceptor.records());
        let state = Box::new(state.clone());
        rows.push(Record::Snapshot { at: self.log.base, base_view: self.log.base_view, state });
        rows.extend(self.log.iter().map(|entry| Record::Entry { entry: Box::new(entry.clone()) }));
        rows
    }
}

/// How far the view number is raised by a restore, so that views of the lost members are older.
const RESTORED_VIEW_STEP: u64 = 1_000_000;

/// What a data folder holds.
pub struct StoredCopy {
    /// The id of the node that wrote it.
    pub node: NodeId,
    /// Its fleet; 0 if it belongs to none.
    pub fleet: FleetId,
    /// The last installed view.
    pub view: Option<View>,
    /// The last entry, committed or not.
    pub synced: Version,
    /// The version of the configuration after all entries.
    pub config_version: Version,
}

/// Describes a data folder by its records.
pub fn inspect_records(records: &[Record]) -> StoredCopy {
    let chain = Chain::new(NodeId(0), records.to_vec(), Time(0));
    let mut state = chain.restored_state.as_deref().cloned().unwrap_or_default();
    for entry in chain.log.iter() {
        state.fold(entry.at, &entry.change);
    }
    StoredCopy {
        node: chain.node_id,
        fleet: chain.fleet,
        view: chain.view,
        synced: chain.log.last(),
        config_version: state.config_version,
    }
}

/// The records for going on with this copy as the only member of the chain; none if it holds no view.
pub fn restore_as_only(records: &[Record]) -> Option<Vec<Record>> {
    let mut chain = Chain::new(NodeId(0), records.to_vec(), Time(0));
    let old = chain.view.clone()?;
    let own_id = chain.node_id;
    let view_no = ViewNo(old.no.0 + RESTORED_VIEW_STEP);
    chain.acceptor = Acceptor::default();
    chain.view = Some(View { no: view_no, chain: vec![own_id], voters: vec![own_id] });
    chain.ready_in_view = Some(view_no);
    let state = chain.restored_state.as_deref().cloned().unwrap_or_default();
    Some(chain.records(&state))
}

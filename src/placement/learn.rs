//! What a node does when it learns of the duty of placement: it begins to hold it, goes on, or ends.
#![deny(missing_docs)]

use super::duty::Placement;
use super::flights::Flights;
use super::takeover::Takeover;
use crate::fleet::slice::DutySlice;
use crate::kernel::ids::{NodeId, Term};
use std::sync::Arc;

impl Placement {
    /// Takes in what the fleet has recorded for the duty.
    pub(super) fn learn(&mut self, me: NodeId, slice: DutySlice) {
        let mine = slice.duty.as_ref().filter(|d| d.holder == me).map(|d| d.term);
        match mine {
            Some(term) if term != self.term => {
                self.term = term;
                let mut pacer = std::mem::take(&mut self.flights.pacer);
                self.takeover = self.takeover_of(&slice, pacer.clock());
                let arrive_for = self.takeover.orders_arrive_for(pacer.clock());
                pacer.follow(&slice.config.store, arrive_for);
                self.flights = Flights { pacer, ..Flights::default() };
                self.phases.clear();
                self.rows.clear();
                self.claims.clear();
                self.unseen.clear();
                self.afresh();
                self.count_predecessor_loads();
            }
            Some(_) => {}
            None => {
                self.term = Term(0);
                self.takeover = Takeover::never();
                self.afresh();
            }
        }
        let deputy = slice.duty.as_ref().and_then(|duty| duty.deputy);
        self.leases.follow(deputy.filter(|_| self.term > Term(0)));
        let runners = slice.runners.iter().enumerate();
        self.places = runners.map(|(place, runner)| (runner.instance.clone(), place)).collect();
        self.reports.retain(|n, _| self.places.contains_key(n));
        self.kept.retain(|n, _| self.places.contains_key(n));
        self.slice = Some(Arc::new(slice));
    }

    fn afresh(&mut self) {
        self.reports.clear();
        self.looks.clear();
        self.jobs.clear();
        self.settled.clear();
        self.push_anew();
    }
}

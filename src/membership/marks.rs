//! The runners marked as leaving, which spread like the rows of the table: as changes, checked by a digest.
#![deny(missing_docs)]

use crate::kernel::component::Context;
use crate::kernel::ids::Name;
use crate::kernel::rand::hash;
use crate::kernel::time::{Span, Time};
use crate::msg::{Effect, Mark};
use std::collections::BTreeMap;

/// How long a mark is kept.
const MARK_TTL: Span = Span::ms(600_000);
/// How many marks are kept; the oldest is dropped first.
const MAX_MARKS: usize = 2048;

/// The marked runners that this node knows.
#[derive(Default)]
pub struct Marks {
    /// When each runner was marked, and the change number of the mark.
    rows: BTreeMap<Name, (Time, u64)>,
    change_order: BTreeMap<u64, Name>,
    /// The number of the last change.
    pub seq: u64,
    /// A digest of all names; equal on two nodes that know the same marks.
    pub digest: u64,
}

impl Marks {
    /// Marks a runner as leaving since `age` ago.
    pub fn add(&mut self, name: &Name, age: Span, ctx: &mut Context) {
        if age >= MARK_TTL || self.rows.contains_key(name) {
            return;
        }
        if self.rows.len() >= MAX_MARKS
            && let Some(old) = self.rows.iter().min_by_key(|r| r.1.0).map(|r| r.0.clone())
        {
            self.drop(&old);
        }
        self.seq += 1;
        self.rows.insert(name.clone(), (ctx.now - age, self.seq));
        self.change_order.insert(self.seq, name.clone());
        self.digest ^= hash(&name.0, 3);
        ctx.log_event("runner-marked", name.to_string());
        ctx.effects.push(Effect::RunnerLeaving(name.clone()));
    }

    fn drop(&mut self, name: &Name) {
        if let Some((_, seq)) = self.rows.remove(name) {
            self.change_order.remove(&seq);
            self.digest ^= hash(&name.0, 3);
        }
    }

    /// Merges marks that another node sent.
    pub fn merge(&mut self, marks: &[Mark], ctx: &mut Context) {
        for mark in marks {
            self.add(&mark.instance, mark.age, ctx);
        }
    }

    /// Marks runners that the list of runners shows as leaving.
    pub fn add_listed(&mut self, names: &[Name], ctx: &mut Context) {
        for name in names {
            self.add(name, Span(0), ctx);
        }
    }

    /// Drops marks that are too old.
    pub fn drop_expired(&mut self, now: Time) {
        let old: Vec<Name> =
            self.rows.iter().filter(|r| now.since(r.1.0) >= MARK_TTL).map(|r| r.0.clone()).collect();
        old.iter().for_each(|n| self.drop(n));
    }

    /// At most `most` marks after change `seq`, and the change number up to which they reach.
    pub fn since(&self, seq: u64, most: usize, now: Time) -> (Vec<Mark>, u64) {
        let rows: Vec<(&u64, &Name)> = self.change_order.range(seq + 1..).take(most).collect();
        let upto = if rows.len() < most { self.seq } else { rows.last().map_or(self.seq, |r| *r.0) };
        let mark = |n: &Name| {
            let (t, _) = self.rows.get(n)?;
            Some(Mark { instance: n.clone(), age: now.since(*t) })
        };
        (rows.into_iter().filter_map(|r| mark(r.1)).collect(), upto)
    }
}

use super::order::Order;
use crate::kernel::ids::Name;
use crate::kernel::rand::mix;
use std::collections::{HashMap, VecDeque};

const MOST: usize = 4096;

/// Which parts of prompts each runner was sent lately, for which weights.
#[derive(Default, Debug)]
pub struct Kept {
    rows: HashMap<Name, Shelf>,
}

#[derive(Default, Debug)]
struct Shelf {
    there: HashMap<u64, u32>,
    line: VecDeque<u64>,
}

fn keys(order: &Order) -> impl Iterator<Item = (u64, u32)> + '_ {
    let mut at = crate::kernel::rand::hash(&order.model, crate::kernel::rand::hash(&order.adapter, 7));
    order.parts.iter().map(move |(id, n)| {
        at = mix(at ^ mix(*id));
        (at, *n)
    })
}

impl Kept {
    /// Tokens of the order's leading parts that the runner is likely to keep.
    pub fn of(&self, runner: &Name, order: &Order) -> u32 {
        let Some(shelf) = self.rows.get(runner) else { return 0 };
        keys(order).take_while(|(k, _)| shelf.there.contains_key(k)).map(|(_, n)| n).sum()
    }

    pub fn sent(&mut self, runner: &Name, order: &Order) {
        if order.parts.is_empty() {
            return;
        }
        let shelf = self.rows.entry(runner.clone()).or_default();
        for (k, n) in keys(order) {
            if shelf.there.insert(k, n).is_none() {
                shelf.line.push_back(k);
            }
        }
        while shelf.line.len() > MOST {
            if let Some(old) = shelf.line.pop_front() {
                shelf.there.remove(&old);
            }
        }
    }

    pub fn keep(&mut self, listed: &dyn Fn(&Name) -> bool) {
        self.rows.retain(|n, _| listed(n));
    }
}

//! The orders under way, found by their runner and by the name they load.
#![deny(missing_docs)]

use super::pending_orders::PendingOrder;
use crate::kernel::ids::{Name, OrderId};
use std::collections::BTreeMap;

/// The orders under way.
#[derive(Clone, Default)]
pub struct OrderTable {
    orders: BTreeMap<OrderId, PendingOrder>,
    by_runner: BTreeMap<Name, Vec<OrderId>>,
    loads_by_name: BTreeMap<Name, Vec<OrderId>>,
}

impl OrderTable {
    /// Adds an order, in the place of one with the same id.
    pub fn insert(&mut self, order: OrderId, flight: PendingOrder) {
        self.remove(order);
        self.by_runner.entry(flight.runner.clone()).or_default().push(order);
        if flight.is_load {
            self.loads_by_name.entry(flight.name.clone()).or_default().push(order);
        }
        self.orders.insert(order, flight);
    }

    /// Takes an order out.
    pub fn remove(&mut self, order: OrderId) -> Option<PendingOrder> {
        let flight = self.orders.remove(&order)?;
        forget(&mut self.by_runner, &flight.runner, order);
        if flight.is_load {
            forget(&mut self.loads_by_name, &flight.name, order);
        }
        Some(flight)
    }

    /// Keeps those orders at a runner for which `keeps` says so; it may change them.
    pub fn retain_at(&mut self, runner: &Name, mut keeps: impl FnMut(&mut PendingOrder) -> bool) {
        for order in self.by_runner.get(runner).cloned().unwrap_or_default() {
            if self.orders.get_mut(&order).is_some_and(|flight| !keeps(flight)) {
                self.remove(order);
            }
        }
    }

    /// The order with this id.
    pub fn get(&self, order: &OrderId) -> Option<&PendingOrder> {
        self.orders.get(order)
    }

    /// The order with this id, to be changed; its runner, its name and what it does stay as they are.
    pub fn get_mut(&mut self, order: &OrderId) -> Option<&mut PendingOrder> {
        self.orders.get_mut(order)
    }

    /// Whether the order is under way.
    pub fn contains_key(&self, order: &OrderId) -> bool {
        self.orders.contains_key(order)
    }

    /// Whether no order is under way.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// How many orders are under way.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// All orders.
    pub fn values(&self) -> impl Iterator<Item = &PendingOrder> {
        self.orders.values()
    }

    /// All orders, to be changed as by [`FlightTable::get_mut`].
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut PendingOrder> {
        self.orders.values_mut()
    }

    /// The orders at a runner.
    pub fn at_runner(&self, runner: &Name) -> impl Iterator<Item = &PendingOrder> {
        self.orders_of(self.by_runner.get(runner))
    }

    /// The loads of a name.
    pub fn loads_of(&self, name: &Name) -> impl Iterator<Item = &PendingOrder> {
        self.orders_of(self.loads_by_name.get(name))
    }

    fn orders_of<'a>(&'a self, orders: Option<&'a Vec<OrderId>>) -> impl Iterator<Item = &'a PendingOrder> {
        orders.into_iter().flatten().filter_map(|order| self.orders.get(order))
    }
}

/// Takes an order out of the list under `key`, and the list if it was the last.
fn forget(lists: &mut BTreeMap<Name, Vec<OrderId>>, key: &Name, order: OrderId) {
    let Some(list) = lists.get_mut(key) else { return };
    list.retain(|other| *other != order);
    if list.is_empty() {
        lists.remove(key);
    }
}

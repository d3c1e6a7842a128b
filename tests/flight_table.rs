//! The table of pending orders and its indexes by runner and name.

use quickcheck::quickcheck;
use spindledock::kernel::ids::{Name, OrderId};
use spindledock::kernel::time::Time;
use spindledock::placement::order_table::OrderTable;
use spindledock::placement::pending_orders::PendingOrder;

const RUNNERS: u8 = 5;
const NAMES: u8 = 4;

fn pending_order(runner: u8, name: u8, load: bool) -> PendingOrder {
    let (runner, name) = (Name(format!("r{}", runner % RUNNERS)), Name(format!("m{}", name % NAMES)));
    PendingOrder { is_load: load, ..PendingOrder::planned(runner, name, 1, false, Time(1)) }
}

/// Whether each lookup finds what a search of all orders finds.
fn is_consistent(table: &OrderTable) -> bool {
    let at = |n: u8| Name(format!("r{n}"));
    let of = |n: u8| Name(format!("m{n}"));
    let by_runner = |n: u8| table.values().filter(|f| f.runner == at(n)).count();
    let by_name = |n: u8| table.values().filter(|f| f.is_load && f.name == of(n)).count();
    (0..RUNNERS).all(|n| table.at_runner(&at(n)).count() == by_runner(n))
        && (0..NAMES).all(|n| table.loads_of(&of(n)).count() == by_name(n))
        && table.len() == table.values().count()
}

quickcheck! {
    fn given_any_changes_when_orders_are_looked_up_then_each_is_found_by_runner_and_by_name(
        steps: Vec<(u8, u8, u8, bool)>
    ) -> bool {
        let mut table = OrderTable::default();
        steps.into_iter().all(|(kind, runner, name, load)| {
            let order = OrderId(u64::from(name) + 8 * u64::from(runner));
            match kind % 3 {
                0 => table.insert(order, pending_order(runner, name, load)),
                1 => drop(table.remove(order)),
                _ => table.retain_at(&Name(format!("r{}", runner % RUNNERS)), |f| f.is_load == load),
            }
            is_consistent(&table)
        })
    }
}

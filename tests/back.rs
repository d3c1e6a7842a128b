//! After each kind of runner loss all services recover within seconds once the runners return.

mod common;

use common::seeded;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::sim::back::{HERDS, herd, judge};
use spindledock::sim::check;

#[test]
fn given_each_herd_lost_when_it_returns_then_each_service_is_back_to_a_quarter_within_twelve_seconds() {
    seeded(1..3, |seed| {
        for kind in HERDS {
            for plan in [vanua(), quebec()] {
                let name = plan.name;
                let (w, rows) = herd(plan, seed, kind, Span::ms(1000 + 900 * seed));
                println!("{name} {kind:?} {rows:?}");
                let mut bad = judge(&rows);
                bad.extend(check::all(&w));
                assert!(bad.is_empty(), "{name} {kind:?}: {}", bad.join("\n"));
                assert!(rows.iter().all(|r| r.before > 20), "{rows:?}");
            }
        }
    });
}

//! What a change costs in bytes at the largest configurations, in memory and encoded.

mod platform_given;

use platform_given::{WHOLE, whole};
use spindledock::chain::messages::Entry;
use spindledock::fleet::FleetState;
use spindledock::fleet::state::Change;
use spindledock::hollow::heap;
use spindledock::kernel::ids::*;
use spindledock::msg::Record;
use std::sync::Arc;

#[global_allocator]
static HEAP: heap::Counting = heap::Counting;

/// A document with this many routes.
fn document(routes: usize) -> String {
    let row = |n: usize| {
        format!(
            "{{\"Name\":\"r-{n}\",\"Vhost\":\"host{n}.example\",\"PathPrefix\":\"/path{n}/\",\
             \"RouteType\":\"idempotent\",\"TimeoutMs\":2500,\"TargetLatencyMs\":150,\"Priority\":0,\
             \"Backend\":\"tiles\",\"MaxRetries\":3}},"
        )
    };
    let rows: String = (0..routes).map(row).collect();
    WHOLE.replacen("\"RouteMap\":[", &format!("\"RouteMap\":[{rows}"), 1)
}

#[test]
fn given_fifteen_hundred_routes_when_a_change_is_kept_then_the_estimate_of_its_bytes_is_near() {
    for routes in [3, 350, 1500] {
        let text = document(routes);
        let before = heap::begin();
        let config = whole(&text).expect("a good document");
        let parsed = heap::end(before);
        let change = Change::Adopt {
            id: ChangeId::default(),
            base: 0,
            config: Box::new(config.clone()),
            stages: vec![],
        };
        let entry = Entry { at: Version(1), view: ViewNo(1), change: Arc::new(change.clone()) };
        let encoded = bitcode::encode(&Record::Entry { entry: Box::new(entry.clone()) });
        let before = heap::begin();
        let copy = change.clone();
        let copied = heap::end(before);
        let mut state = FleetState::default();
        state.fold(Version(1), &change);
        let snapshot = bitcode::encode(&Record::Snapshot {
            at: Version(1),
            base_view: ViewNo(1),
            state: Box::new(state),
        });
        println!(
            "{routes} routes: document {} B, encoded entry {} B, snapshot {} B, in memory {} B (peak of reading {} B)",
            text.len(),
            encoded.len(),
            snapshot.len(),
            copied.net,
            parsed.top
        );
        drop(copy);
        let estimate = change.size_estimate();
        assert!(estimate >= copied.net.min(encoded.len() as i64) as usize * 3 / 4, "{estimate}");
        assert!(estimate <= copied.net as usize * 3 / 2, "{estimate}");
    }
}

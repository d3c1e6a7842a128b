//! Hundreds of large changes: the log, its snapshots and the files stay bounded, and a restarted member catches up
//! meanwhile.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::OperatorClient;
use common::{ident, seeded, sound, view};
use spindledock::chain::replication_log::MAX_BYTES;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec, vanua};

const CHANGES: u64 = 300;
const ROUTES: usize = 250;
const KILLED_AT: u64 = 90;
const BACK_AT: u64 = 200;
/// Allowance for one entry above the bound, and as much for the snapshot.
const SLACK: usize = 1 << 20;

/// A whole configuration in the operator's format, with its revision.
fn document(revision: u64) -> String {
    let names: Vec<String> = (0..ROUTES).map(|n| format!("route{n}{}", "x".repeat(120))).collect();
    format!("{revision} r{revision} {}", names.join(" "))
}

fn status(client: &OperatorClient, place: usize, key: &str) -> usize {
    let Some(node) = client.world.nodes[place].node.as_ref() else { return 0 };
    let rows = node.status(client.world.local(place));
    rows.iter().find(|row| row.1 == key).and_then(|row| row.2.parse().ok()).unwrap_or(0)
}

fn is_member(client: &OperatorClient, place: usize) -> bool {
    let w = &client.world;
    let best = w.controllers().into_iter().filter_map(|n| view(w, n)).max_by_key(|v| v.no);
    w.nodes[place].ready && ident(w, place).is_some_and(|own| best.is_some_and(|v| v.has(own)))
}

fn check_bounds(client: &OperatorClient) {
    for n in client.world.controllers() {
        let (log, disk) = (status(client, n, "log_bytes"), client.world.nodes[n].disk.bytes());
        assert!(log <= MAX_BYTES + SLACK, "the log of {n} takes {log} bytes");
        assert!(disk <= 2 * (MAX_BYTES + SLACK), "the disk of {n} takes {disk} bytes");
        let kept = client.world.nodes[n].node.as_ref().map_or(0, |x| x.journal.kept());
        assert!(kept < 1000, "the journal of {n} keeps {kept} events");
    }
}

/// Sends many changes while one member of the chain is killed for a while. Returns how long it took to rejoin.
fn run_storm(plan: Deployment, seed: u64, spot: usize) -> Span {
    let mut client = OperatorClient::start(plan, seed);
    let (mut lost, mut began, mut back) = (None, None, None);
    for n in 0..CHANGES {
        let since = client.world.now;
        assert_eq!(client.send_until_answered(n, &document(n + 1)), 200, "change {}", n + 1);
        let spent = client.world.now.since(since);
        client.world.run_for(Span(Span::ms(100).0.saturating_sub(spent.0)));
        check_bounds(&client);
        if n == KILLED_AT {
            let node = view(&client.world, 0).and_then(|v| v.chain.get(spot).copied());
            lost = client.world.controllers().into_iter().find(|n| ident(&client.world, *n) == node);
            client.world.kill_node(lost.expect("a member"));
        }
        if n == BACK_AT {
            began = Some(client.world.now);
            client.world.start_node(lost.expect("a member"));
        }
        if let (Some(began), None, Some(lost)) = (began, back, lost)
            && is_member(&client, lost)
        {
            back = Some(client.world.now.since(began));
        }
    }
    client.world.run_for(Span::ms(1000));
    for n in client.world.controllers() {
        assert!(client.source(n).starts_with(&format!("{CHANGES} r{CHANGES} ")), "{n} has the last change");
    }
    sound(&client.world);
    back.expect("it is a member again before the storm ends")
}

#[test]
fn given_three_hundred_large_changes_when_a_member_comes_back_then_it_catches_up_while_they_go_on() {
    seeded(1..3, |seed| {
        for (plan, spot) in [(vanua(), 0), (vanua(), 1), (vanua(), 2), (quebec(), 0), (quebec(), 3)] {
            let name = plan.name;
            let back = run_storm(plan, seed, spot);
            println!("{name} place {spot}: a member again after {back}");
            assert!(back <= Span::ms(4000), "{back}");
        }
    });
}

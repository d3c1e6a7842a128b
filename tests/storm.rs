//! Hundreds of large changes: what the log, its snapshots and a member that comes back cost meanwhile.

#[path = "common/adopt.rs"]
mod adopt;
mod common;

use adopt::Office;
use common::{ident, seeded, sound, view};
use spindledock::chain::replication_log::MAX_BYTES;
use spindledock::kernel::time::Span;
use spindledock::launch::deployment::{Deployment, quebec, vanua};

const CHANGES: u64 = 300;
const ROUTES: usize = 250;
const KILLED_AT: u64 = 90;
const BACK_AT: u64 = 200;
/// One entry more than the bound, and as much again for the snapshot.
const SLACK: usize = 1 << 20;

/// A whole configuration of an operator, which carries its own number.
fn document(revision: u64) -> String {
    let names: Vec<String> = (0..ROUTES).map(|n| format!("route{n}{}", "x".repeat(120))).collect();
    format!("{revision} r{revision} {}", names.join(" "))
}

fn status(office: &Office, place: usize, key: &str) -> usize {
    let Some(node) = office.w.nodes[place].node.as_ref() else { return 0 };
    let rows = node.status(office.w.local(place));
    rows.iter().find(|row| row.1 == key).and_then(|row| row.2.parse().ok()).unwrap_or(0)
}

fn is_member(office: &Office, place: usize) -> bool {
    let w = &office.w;
    let best = w.controllers().into_iter().filter_map(|n| view(w, n)).max_by_key(|v| v.no);
    w.nodes[place].ready && ident(w, place).is_some_and(|own| best.is_some_and(|v| v.has(own)))
}

fn judge_bounds(office: &Office) {
    for n in office.w.controllers() {
        let (log, disk) = (status(office, n, "log_bytes"), office.w.nodes[n].disk.bytes());
        assert!(log <= MAX_BYTES + SLACK, "the log of {n} takes {log} bytes");
        assert!(disk <= 2 * (MAX_BYTES + SLACK), "the disk of {n} takes {disk} bytes");
        let kept = office.w.nodes[n].node.as_ref().map_or(0, |x| x.journal.kept());
        assert!(kept < 1000, "the journal of {n} keeps {kept} events");
    }
}

/// A storm of changes, with one member of the chain killed for a while; how long it then took to come back.
fn storm_with_a_loss(plan: Deployment, seed: u64, spot: usize) -> Span {
    let mut office = Office::open(plan, seed);
    let (mut lost, mut began, mut back) = (None, None, None);
    for n in 0..CHANGES {
        let since = office.w.now;
        assert_eq!(office.insist(n, &document(n + 1)), 200, "change {}", n + 1);
        let spent = office.w.now.since(since);
        office.w.run_for(Span(Span::ms(100).0.saturating_sub(spent.0)));
        judge_bounds(&office);
        if n == KILLED_AT {
            let node = view(&office.w, 0).and_then(|v| v.chain.get(spot).copied());
            lost = office.w.controllers().into_iter().find(|n| ident(&office.w, *n) == node);
            office.w.kill_node(lost.expect("a member"));
        }
        if n == BACK_AT {
            began = Some(office.w.now);
            office.w.start_node(lost.expect("a member"));
        }
        if let (Some(began), None, Some(lost)) = (began, back, lost)
            && is_member(&office, lost)
        {
            back = Some(office.w.now.since(began));
        }
    }
    office.w.run_for(Span::ms(1000));
    for n in office.w.controllers() {
        assert!(office.source(n).starts_with(&format!("{CHANGES} r{CHANGES} ")), "{n} has the last change");
    }
    sound(&office.w);
    back.expect("it is a member again before the storm ends")
}

#[test]
fn given_three_hundred_large_changes_when_a_member_comes_back_then_it_catches_up_while_they_go_on() {
    seeded(1..3, |seed| {
        for (plan, spot) in [(vanua(), 0), (vanua(), 1), (vanua(), 2), (quebec(), 0), (quebec(), 3)] {
            let name = plan.name;
            let back = storm_with_a_loss(plan, seed, spot);
            println!("{name} place {spot}: a member again after {back}");
            assert!(back <= Span::ms(4000), "{back}");
        }
    });
}

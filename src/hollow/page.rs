use super::heap::resident_mb;
use super::judge::Judge;
use super::meter::Line;
use super::size::Size;
use super::world::Hollow;
use crate::kernel::time::Span;
use std::fmt::Write;

pub fn title(s: &Size) -> String {
    format!(
        "{} nodes ({} routers in {} zones of {} regions, {} controllers), {} runners, {} models, {} adapters, seed {}",
        s.nodes,
        s.nodes - s.core,
        s.zones,
        s.regions,
        s.core,
        s.runners,
        s.models,
        s.adapters,
        s.seed
    )
}

pub fn phase(name: &str, span: Span, took: std::time::Duration, rows: &[Line]) -> String {
    let mut out = format!("{name}: {span}, computed in {:.1} s\n", took.as_secs_f64());
    let heads = ["sent/s", "got/s", "out KB/s", "in KB/s", "core %", "worst ms", "state MB", "top MB"];
    let _ = write!(out, "  {:8} {:>4}", "role", "n");
    for h in heads {
        let _ = write!(out, " {h:>17}");
    }
    for r in rows {
        let _ = write!(out, "\n  {:8} {:>4}", r.role, r.nodes);
        for (mean, most) in r.mean.cells().iter().zip(r.most.cells()) {
            let _ = write!(out, " {:>17}", format!("{mean:.2} ({most:.2})"));
        }
    }
    out
}

fn spread(rows: &[Span]) -> String {
    if rows.is_empty() {
        return "none".into();
    }
    let mut ms: Vec<u64> = rows.iter().map(|s| s.as_ms()).collect();
    ms.sort();
    let at = |p: usize| ms[(ms.len() - 1) * p / 100];
    format!("{} of {}..{} ms, median {}, 95th {}", ms.len(), ms[0], at(100), at(50), at(95))
}

pub fn judged(j: &Judge, span: Span, routers: usize) -> String {
    let whole = (span.as_ms() * routers as u64).max(1) as f64;
    format!(
        "  losses known everywhere: {}; not yet {}; back unmissed: {}\n  arrivals known everywhere: {}; serving: {}; not yet {}\n  \
         wanted names held: {}; not in 30 s {}\n  router time refusing {:.3}%, down {:.3}%; no holder {} ms; \
         live nodes held dead {} of {} looks",
        spread(&j.known),
        j.losses.len(),
        spread(&j.returned),
        spread(&j.seen),
        spread(&j.served),
        j.arrivals.len(),
        spread(&j.met),
        j.unmet,
        100.0 * j.stale_ms as f64 / whole,
        100.0 * j.down_ms as f64 / whole,
        j.bare_ms,
        j.doubts,
        j.looked
    )
}

pub fn ended(w: &Hollow) -> String {
    let mut out = match &w.over {
        Some(why) => format!("ended early: {why}"),
        None => "ended".to_string(),
    };
    let sum: i64 = w.nodes.iter().map(|n| n.spent.state).sum();
    let _ = write!(out, "; all states {:.0} MB", sum as f64 / 1e6);
    let _ = write!(out, "; {:.1} s, {} MB", w.began.elapsed().as_secs_f64(), resident_mb());
    let _ = write!(out, "; letters over the wire's limit {}, nodes reset {}", w.too_long, w.resets);
    for (what, (n, ns)) in &w.doing.0.lock().unwrap().sums {
        let _ =
            write!(out, "\n  fed {what}: {n} times, {:.3} ms each", *ns as f64 / 1e6 / (*n).max(1) as f64);
    }
    out
}

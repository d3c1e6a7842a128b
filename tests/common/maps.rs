#![allow(dead_code)]

use spindledock::kernel::ids::Name;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::{Deployment, FlowSpec, vanua};
use spindledock::sim::World;
use spindledock::sim::callers::SimFlow;
use spindledock::sim::record::Fact;
use spindledock::standin::tally::End;
use std::collections::BTreeMap;

pub const MODELS: u64 = 34;

/// Runners with room for three models each and one order at a time; thirty-four models; a store with a window.
pub fn maps(adapters: u64) -> Deployment {
    let plan = vanua();
    let models: Vec<String> = (0..MODELS)
        .map(|n| format!("{{\"name\":\"m{n:02}\",\"weight_mb\":72700,\"load_ms\":1600}}"))
        .collect();
    let tunes: Vec<String> = (0..adapters)
        .map(|n| format!("{{\"name\":\"m00/a{n}\",\"model\":\"m00\",\"weight_mb\":66,\"load_ms\":8}}"))
        .collect();
    let names: Vec<String> = (0..MODELS).map(|n| format!("\"m{n:02}\"")).collect();
    let extra: Vec<String> = (0..adapters).map(|n| format!("\"m00/a{n}\"")).collect();
    let text = format!(
        "{{\"store\":{{\"loads_per_minute\":216,\"burst\":4,\"window_ms\":5000,\"most\":22,\"at_once\":6,\
         \"kept_ms\":450,\"adapters\":false}},\n\"models\":[{}],\n\"adapters\":[{}],\n\
         \"services\":[{{\"name\":\"assistant\",\"sort\":\"assistant\",\"inbox\":256,\"slots\":64,\
         \"room_mb\":230000,\"places\":8,\"models\":[{}],\"adapters\":[{}],\"routes\":[\
         {{\"prefix\":\"/chat\",\"class\":\"chat\",\"due_ms\":15000}},\
         {{\"prefix\":\"/rare\",\"class\":\"normal\",\"due_ms\":20000}}]}},\n\
         {{\"name\":\"tiles\",\"sort\":\"plain\",\"inbox\":64,\"slots\":16,\
         \"routes\":[{{\"prefix\":\"/tiles\",\"class\":\"chat\",\"due_ms\":5000}}]}}]}}",
        models.join(","),
        tunes.join(","),
        names.join(","),
        extra.join(",")
    );
    let spec =
        |prefix, class| FlowSpec { prefix, class, resumable: false, due_ms: 20_000, per_s: 1.0, tokens: 40 };
    Deployment {
        models: MODELS as usize,
        adapters: adapters as usize,
        room_mb: 230_000,
        flows: vec![spec("/chat", "chat"), spec("/rare", "normal")],
        text: Some(text),
        ..plan
    }
}

pub fn open(adapters: u64, seed: u64) -> World {
    let mut w = World::build(maps(adapters), seed);
    for r in &mut w.runners {
        r.stock.single = true;
        r.stock.slots = 64;
    }
    w.slow_poll = 300_000;
    w.start_all();
    let core = w.controllers();
    assert!(w.until(Span::ms(20_000), |w| core.iter().all(|n| w.nodes[*n].ready)).is_some());
    let first = w.routers()[0];
    let id = w.config_op(first, w.plan.config());
    assert_eq!(w.answer(id, Span::ms(20_000)), Some(200));
    let id = w.list_op(core[0]);
    assert_eq!(w.answer(id, Span::ms(5000)), Some(200));
    let held = |w: &World| w.runners[..9].iter().map(|r| r.stock.holds.len()).sum::<usize>();
    assert!(w.until(Span::ms(60_000), |w| held(w) >= 27).is_some(), "room is filled: {}", held(&w));
    w
}

pub fn flow(prefix: &str, tokens: u64) -> SimFlow {
    SimFlow {
        prefix: prefix.into(),
        service: Name::from("assistant"),
        resumable: false,
        per_s: 1.0,
        tokens,
        hot: 1,
        adapted: false,
        until: Time(u64::MAX),
    }
}

/// Calls `per_s` times a second, in bursts of `burst`, for `span`, each for what `pick` names.
pub fn calls(
    w: &mut World,
    prefix: &'static str,
    per_s: u64,
    burst: u64,
    span: Span,
    pick: impl Fn(u64) -> (String, Option<String>) + Clone + 'static,
) {
    let n = span.as_ms() * per_s / 1000 / burst;
    for k in 0..n {
        let when = w.now + Span::ms(k * burst * 1000 / per_s);
        let pick = pick.clone();
        w.at(when, move |w| {
            for b in 0..burst {
                let (model, adapter) = pick(k * burst + b);
                w.call_named(&flow(prefix, 40), &model, adapter.as_deref());
            }
        });
    }
}

#[derive(Default, Debug)]
pub struct Waits {
    pub calls: u64,
    pub whole: u64,
    pub ms: Vec<u64>,
    pub codes: BTreeMap<String, u64>,
}

impl Waits {
    /// Of calls on `prefix` made in `from..to`: how long each waited until a runner began it.
    pub fn of(w: &World, prefix: &str, from: Time, to: Time) -> Waits {
        let mut out = Waits::default();
        let mut open = BTreeMap::new();
        for (t, f) in &w.record.rows {
            match f {
                Fact::Called { call, path, .. } if path.starts_with(prefix) && *t >= from && *t < to => {
                    out.calls += 1;
                    open.insert(*call, *t);
                }
                Fact::RunBegan { call, .. } => {
                    if let Some(since) = open.remove(call) {
                        out.ms.push(t.since(since).as_ms());
                    }
                }
                Fact::Ended { call, end, code, .. } => {
                    let refused = open.remove(call).is_some();
                    if refused {
                        *out.codes.entry(code.clone()).or_default() += 1;
                    }
                    out.whole += u64::from(*end == End::Whole && !refused);
                }
                _ => {}
            }
        }
        out.ms.sort();
        out
    }

    pub fn part(&self, percent: usize) -> u64 {
        self.ms.get(self.ms.len() * percent / 100).or(self.ms.last()).copied().unwrap_or(0)
    }

    pub fn within(&self, ms: u64) -> u64 {
        self.ms.iter().filter(|m| **m <= ms).count() as u64 * 1000 / self.calls.max(1)
    }
}

impl std::fmt::Display for Waits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (p50, p95) = (self.part(50), self.part(95));
        write!(
            f,
            "calls={} begun={} p50_ms={p50} p95_ms={p95} most_ms={} codes={:?}",
            self.calls,
            self.ms.len(),
            self.part(100),
            self.codes
        )
    }
}

use super::check;
use super::world::World;
use crate::distribution::history::UpdateBody;
use crate::kernel::time::{Span, Time};
use crate::msg::{ChainMsg, Effect, Msg};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How long a process that is told to stop may take.
pub const GRACE: Span = Span::ms(6800);

pub type Build = dyn Fn() -> World + Sync;
pub type Act = dyn Fn(&mut World) + Sync;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Blow {
    Kill,
    Freeze,
    Power,
    /// Killed; comes back at its address with an empty disk.
    Wipe,
    /// Gone for good, without a successor.
    Lose,
    /// Told to stop, and started again after it has ended.
    Stop,
}

pub const BLOWS: [Blow; 3] = [Blow::Kill, Blow::Freeze, Blow::Power];

pub fn mark(e: &Effect) -> Option<&'static str> {
    let Effect::Send { msg, .. } = e else {
        return match e {
            Effect::Save(_) => Some("save"),
            Effect::Rewrite(_) => Some("rewrite"),
            Effect::Answer { .. } => Some("answer"),
            Effect::OrderRunner(_) => Some("drive"),
            Effect::Topic { slice: Some(_), .. } => Some("learn"),
            _ => None,
        };
    };
    match msg {
        Msg::Chain(c) => match c {
            ChainMsg::Append { entries, .. } if !entries.is_empty() => Some("append"),
            ChainMsg::Prepare { .. } => Some("prepare"),
            ChainMsg::Promise { .. } => Some("promise"),
            ChainMsg::Accept { .. } => Some("accept"),
            ChainMsg::Accepted { .. } => Some("accepted"),
            ChainMsg::ViewDecided { .. } => Some("view-decided"),
            ChainMsg::JoinRequest { .. } => Some("join"),
            ChainMsg::Snapshot { .. } => Some("snapshot"),
            ChainMsg::CatchUp { .. } => Some("follow"),
            ChainMsg::PledgeRequest { .. } => Some("pledge"),
            _ => None,
        },
        Msg::OperatorCall { .. } => Some("op"),
        Msg::CallAnswer { .. } => Some("op-end"),
        Msg::UpdateReply { items, .. } | Msg::UpdatePush { items }
            if items.iter().any(|i| i.body != UpdateBody::Same) =>
        {
            Some("distribution")
        }
        _ => None,
    }
}

pub fn steps(build: &Build, act: &Act, span: Span) -> Vec<(Time, &'static str)> {
    let mut w = build();
    w.marks = Some(Vec::new());
    act(&mut w);
    w.run_for(span);
    let mut rows = w.marks.take().unwrap_or_default();
    for (t, f) in &w.record.rows {
        if let super::record::Fact::Told { what, .. } = f
            && w.now.since(*t) < span
        {
            rows.push((*t, what));
        }
    }
    rows.sort();
    rows.dedup_by_key(|r| (r.0.0 / 500, r.1));
    rows
}

fn blow(w: &mut World, place: usize, how: Blow) {
    match how {
        Blow::Freeze => w.freeze(place, Span::ms(3500)),
        Blow::Kill => {
            w.kill_node(place);
            w.at(w.now + Span::ms(1200), move |w| w.start_node(place));
        }
        Blow::Wipe => {
            w.kill_node(place);
            w.nodes[place].disk.wipe();
            w.nodes[place].place.may_found = false;
            w.at(w.now + Span::ms(700), move |w| w.start_node(place));
        }
        Blow::Stop => {
            w.stop_node(place, GRACE);
            w.at(w.now + GRACE + Span::ms(200), move |w| w.start_node(place));
        }
        Blow::Lose => {
            w.kill_node(place);
            w.nodes[place].retired = true;
        }
        Blow::Power => {
            for n in w.controllers() {
                w.kill_node(n);
                w.at(w.now + Span::ms(700), move |w| w.start_node(n));
            }
        }
    }
}

pub struct Swept {
    pub steps: usize,
    pub kinds: Vec<&'static str>,
    pub runs: usize,
    pub bad: Vec<String>,
}

/// Runs `act` again and again, with a blow at another step each time, and judges each run.
pub fn sweep(build: &Build, act: &Act, span: Span, stride: usize, victims: &[usize]) -> Swept {
    sweep_blows(build, act, span, stride, victims, &BLOWS, &|_| None)
}

/// What a run is judged by at its end, beside the usual checks.
pub type Verdict = dyn Fn(&mut World) -> Option<String> + Sync;

/// As `sweep`, with these blows and one more verdict.
pub fn sweep_blows(
    build: &Build,
    act: &Act,
    span: Span,
    stride: usize,
    victims: &[usize],
    blows: &[Blow],
    verdict: &Verdict,
) -> Swept {
    let all = steps(build, act, span);
    let mut kinds: Vec<&str> = all.iter().map(|r| r.1).collect();
    kinds.sort();
    kinds.dedup();
    let mut jobs = Vec::new();
    for (t, what) in &all {
        for v in victims {
            let fits = |b: &&Blow| **b != Blow::Power || v == &victims[0];
            jobs.extend(blows.iter().filter(fits).map(|b| (*t, *what, *v, *b)));
        }
    }
    let jobs: Vec<_> = jobs.into_iter().step_by(stride.max(1)).collect();
    let (next, bad) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let work = || {
        while let Some((t, what, v, how)) = jobs.get(next.fetch_add(1, Ordering::SeqCst)).copied() {
            let mut w = build();
            act(&mut w);
            w.run_to(t);
            blow(&mut w, v, how);
            w.run_for(Span::ms(30_000));
            let end = verdict(&mut w);
            w.resolve();
            let mut rows = check::all(&w);
            rows.extend(end);
            bad.lock()
                .unwrap()
                .extend(rows.iter().map(|b| format!("{what} at {} {how:?} node {v}: {b}", t.0 / 1000)));
            if !w
                .nodes
                .iter()
                .filter(|n| !n.retired && n.alive)
                .all(|n| n.ready || n.role == crate::msg::Role::Router)
            {
                bad.lock()
                    .unwrap()
                    .push(format!("{what} at {} {how:?} node {v}: a controller is not ready", t.0 / 1000));
            }
        }
    };
    std::thread::scope(|s| {
        for _ in 0..std::thread::available_parallelism().map_or(2, |n| n.get()) {
            s.spawn(work);
        }
    });
    Swept { steps: all.len(), kinds, runs: jobs.len(), bad: bad.into_inner().unwrap() }
}

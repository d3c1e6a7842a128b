use super::callers::SimFlow;
use super::faults::{Kind, one, span};
use super::world::World;
use crate::kernel::ids::*;
use crate::kernel::rand::Rand;
use crate::kernel::time::Span;
use crate::msg::OperatorCall;

pub fn cut(w: &mut World, kind: Kind, core: &[usize]) {
    let long = span(w, 200, 7000);
    let a = one(w, core);
    let others: Vec<usize> = match kind {
        Kind::Isolate => (0..w.nodes.len()).filter(|n| *n != a).collect(),
        _ => core.iter().copied().filter(|n| *n != a).collect(),
    };
    let some = if kind == Kind::OneWay { vec![one(w, &others)] } else { others };
    let mut rows: Vec<(usize, usize)> = some.iter().map(|b| (a, *b)).collect();
    if kind != Kind::OneWay {
        rows.extend(some.iter().map(|b| (*b, a)));
    }
    w.cuts.extend(rows.iter().copied());
    w.at(w.now + long, move |w| {
        for row in rows {
            w.cuts.remove(&row);
        }
    });
}

pub fn change(w: &mut World, race: bool) {
    let all: Vec<usize> = (0..w.nodes.len()).collect();
    let base = w.nodes.iter().filter_map(|n| n.node.as_ref()).map(|n| n.views.state.config_version).max();
    let mut marks = Vec::new();
    for _ in 0..if race { 3 } else { 1 } {
        let n = one(w, &all);
        let mark = w.rand.below(1_000_000);
        let old = w.turn.map_or(String::new(), |t| format!("{{\"prefix\":\"/x{t}\",\"drop\":true}},"));
        let text = format!(
            "{{\"services\":[{{\"name\":\"assistant\",\"routes\":[{old}{{\"prefix\":\"/x{mark}\",\"resumable\":true}}]}}]}}"
        );
        let base = if race { base } else { None };
        let op = OperatorCall::PatchConfig { base, text };
        let id = w.ask(n, op.clone());
        send_again(w, id, &op, &all);
        marks.push(mark);
    }
    for mark in marks.iter().copied().chain(w.turn) {
        probe(w, mark);
    }
    w.turn = marks.pop();
}

/// Sends a change again under its id, soon and late, as an operator does whose answers are lost.
fn send_again(w: &mut World, id: ChangeId, op: &OperatorCall, all: &[usize]) {
    for _ in 0..w.rand.below(3) {
        let (n, wait, op) = (one(w, all), span(w, 200, 9000), op.clone());
        w.at(w.now + wait, move |w| w.ask_as(n, id, op));
    }
}

fn probe(w: &mut World, mark: u64) {
    let until = w.now + Span::ms(6000);
    w.start_flow(SimFlow {
        prefix: format!("/x{mark}"),
        service: Name::from("assistant"),
        resumable: true,
        per_s: 4.0,
        tokens: 2,
        hot: 2,
        adapted: false,
        until,
    });
}

pub fn order_move(w: &mut World) {
    let all: Vec<usize> = (0..w.nodes.len()).collect();
    let busy =
        w.runners.iter().filter(|r| r.alive && !r.stock.runs.is_empty() && r.card.service.0 == "assistant");
    let mut rows: Vec<(Name, Name)> = Vec::new();
    for r in busy {
        for (m, n) in &r.stock.runs {
            if *n > 0 {
                rows.push((r.card.instance.clone(), m.clone()));
            }
        }
    }
    if rows.is_empty() {
        return;
    }
    let (from, model) = rows[w.rand.below(rows.len() as u64) as usize].clone();
    let to = Name(format!("a{}", 1 + w.rand.below(w.plan.assistants as u64)));
    let n = one(w, &all);
    let op =
        OperatorCall::MoveModel { service: Name::from("assistant"), model, from, to, want: Name::default() };
    w.ask(n, op);
}

pub fn leave(w: &mut World, n: usize, name: Name) {
    w.ask(n, OperatorCall::MarkLeaving(name));
}

pub fn replace(w: &mut World) {
    let k = w.rand.below(w.runners.len() as u64) as usize;
    let old = w.runners[k].card.instance.clone();
    let n = w.routers()[0];
    leave(w, n, old);
    w.at(w.now + Span::ms(2000), move |w| {
        w.kill_runner(k);
        w.runners[k].card.instance = Name(format!("{}x", w.runners[k].card.instance));
        w.start_runner(k);
        let n = w.routers()[0];
        w.list_op(n);
    });
}

pub fn drop_only(w: &mut World) -> usize {
    let n = w.routers()[0];
    let mut config = w.plan.config();
    config = config.replace("\"rollout\":{", "\"rollout\":{\"refused_percent\":100,");
    let gone: Vec<String> =
        (0..w.plan.adapters).filter(|a| a % 10 == 9).map(|a| format!("\"a{a:02}\"")).collect();
    let at = config.find("\"services\"").unwrap_or(0);
    let mut tail = config.split_off(at);
    tail = tail.replace("\"m09\",", "");
    for a in gone {
        tail = tail.replace(&format!("{a},"), "").replace(&format!(",{a}"), "");
    }
    config.push_str(&tail);
    w.config_op(n, config);
    n
}

pub fn drop_model(w: &mut World) {
    let n = drop_only(w);
    let wait = span(w, 3000, 8000);
    w.at(w.now + wait, move |w| {
        let text = w.plan.config();
        w.config_op(n, text);
    });
}

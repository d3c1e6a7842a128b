//! A gate with runners that report, and a request on its way through it.

#![allow(dead_code)]

use bytes::Bytes;
use spindledock::fleet::config::Class;
use spindledock::fleet::read::read_text;
use spindledock::fleet::runner::{Runner, RunnerReport};
use spindledock::fleet::slice::service_slice;
use spindledock::fleet::state::{MovePlan, Phase};
use spindledock::forwarding::{FlowAction, FlowEvent, RequestFlow};
use spindledock::gate::{Balancer, RequestSpec};
use spindledock::kernel::ids::*;
use spindledock::kernel::time::{Span, Time};
use spindledock::launch::deployment::small;

pub const NOW: Time = Time(100_000_000);

pub fn balancer(runners: &[&str]) -> Balancer {
    let config = read_text(&small().config()).expect("sound");
    let service = config.service(&Name::from("assistant")).expect("there");
    let mut slice = service_slice(&config, service);
    for (n, name) in runners.iter().enumerate() {
        slice.runners.push(Runner {
            instance: Name::from(*name),
            service: Name::from("assistant"),
            domain: Name::from("z1"),
            addr: ([127, 0, 0, 1], 1000 + n as u16).into(),
            leaving: false,
        });
    }
    let mut g = Balancer::new(Name::from("assistant"), Name::from("z1"));
    g.apply_slice(Version(5), slice, NOW);
    g.proven_at = NOW;
    g.routes_proven_at = NOW;
    for name in runners {
        report(&mut g, NOW, name, 0);
    }
    for _ in 0..40 {
        g.retry_budget.record_first_send();
    }
    g
}

pub fn report(g: &mut Balancer, now: Time, name: &str, running: u64) {
    let rep = RunnerReport {
        instance: Name::from(name),
        holds: vec![Name::from("m00")],
        slots: 8,
        running,
        ..RunnerReport::default()
    };
    g.on_report(now, &Name::from(name), rep);
    g.proven_at = now;
    g.routes_proven_at = now;
}

pub fn request(resumable: bool) -> RequestFlow {
    RequestFlow::new(RequestSpec {
        id: 1,
        service: Name::from("assistant"),
        class: Class::Chat,
        model: "m00".into(),
        adapter: "".into(),
        prefix: "".into(),
        is_resumable: resumable,
        start_deadline: NOW + Span::ms(5000),
        answer_deadline: NOW + Span::ms(5000),
        path: "".into(),
        ..RequestSpec::default()
    })
}

pub fn event(n: u64) -> Bytes {
    Bytes::from(format!("id: {n}\ndata: w{n}\n\n"))
}

pub fn text(outs: &[FlowAction]) -> String {
    let part = |o: &FlowAction| {
        if let FlowAction::Forward(raw) = o {
            String::from_utf8_lossy(raw).into_owned()
        } else {
            String::new()
        }
    };
    outs.iter().map(part).collect()
}

pub fn streaming(r: &mut RequestFlow, g: &mut Balancer, upto: u64) -> String {
    let outs = r.step(NOW, FlowEvent::Start, g);
    assert!(matches!(outs[..], [FlowAction::Open { attempt: 1, .. }]), "{outs:?}");
    r.step(NOW, FlowEvent::Head { attempt: 1, status: 200, is_stream: true }, g);
    (1..=upto).map(|n| text(&r.step(NOW, FlowEvent::Chunk { attempt: 1, raw: event(n) }, g))).collect()
}

pub fn moving(g: &mut Balancer, from: &str, to: &str) {
    let mut slice = (*g.slice.clone().expect("there")).clone();
    slice.moves.push(MovePlan {
        id: MoveId(7),
        service: Name::from("assistant"),
        model: Name::from("m00"),
        from: Name::from(from),
        to: Name::from(to),
        want: Name::default(),
        phase: Phase::Warm,
        why: String::new(),
        stages: vec![],
    });
    g.apply_slice(Version(6), slice, NOW);
}

pub fn begin_move(upto: u64) -> (Balancer, RequestFlow, String) {
    let mut g = balancer(&["a1", "a2"]);
    let mut r = request(true);
    let passed = streaming(&mut r, &mut g, upto);
    let from = r.runner_of(1).expect("a attempt").0;
    moving(&mut g, &from, if from == "a1" { "a2" } else { "a1" });
    let outs = r.step(NOW, FlowEvent::Tick, &mut g);
    let last = upto.to_string();
    assert!(
        outs.iter()
            .any(|o| matches!(o, FlowAction::Open { attempt: 2, last_event_id: Some(l), .. } if *l == last)),
        "{outs:?}"
    );
    r.step(NOW, FlowEvent::Head { attempt: 2, status: 200, is_stream: true }, &mut g);
    (g, r, passed)
}

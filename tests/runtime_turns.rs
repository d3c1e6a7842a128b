//! A busy node and the runtime that sends its messages share one core: the runtime must still get its turns.

use spindledock::daemon::driver::{Driver, WORK_BETWEEN_TURNS};
use spindledock::daemon::input::Input;
use spindledock::daemon::links::Links;
use spindledock::kernel::component::{Component, Context, LocalNode};
use spindledock::kernel::ids::*;
use spindledock::kernel::node::Node;
use spindledock::kernel::rand::SeededRandom;
use spindledock::kernel::time::{Clock, Span, Time};
use spindledock::msg::{Effect, Event, Msg, Role};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};

/// How long the node works on one input.
const WORK_OF_INPUT: Span = Span::ms(1);
/// How many inputs are queued at the start.
const INPUTS: u64 = 400;

/// A clock that only the node's work advances.
struct WorkClock(AtomicU64);

impl Clock for WorkClock {
    fn now(&self) -> Time {
        Time(self.0.load(Ordering::SeqCst))
    }
}

/// A component that works on each input and sends a message for it; the last one ends the driver.
struct Busy {
    clock: Arc<WorkClock>,
    peer: SocketAddr,
    left: u64,
    end: Option<mpsc::Sender<Input>>,
}

impl Component for Busy {
    fn name(&self) -> &'static str {
        "busy"
    }

    fn on(&mut self, event: &Event, ctx: &mut Context) {
        if let Event::StopAnnounced = event {
            self.clock.0.fetch_add(WORK_OF_INPUT.0, Ordering::SeqCst);
            ctx.effects.push(Effect::SendAt { addr: self.peer, msg: Msg::RequestUpdates });
            self.left -= 1;
            if self.left == 0 {
                self.end = None;
            }
        }
    }
}

fn me() -> LocalNode {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    LocalNode {
        node: NodeId(1),
        role: Role::Controller,
        domain: Name::from("z1"),
        addr,
        admin: addr,
        seeds: vec![],
        is_seed: false,
        core_size: 3,
        tolerated_failures: 1,
        may_found: true,
        freshness_limit: Span::ms(2000),
        serving_lease: Span::ms(4500),
        started: Time(0),
    }
}

#[test]
fn given_a_node_that_is_never_idle_when_threads_share_one_core_then_its_messages_leave_all_the_same() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a socket");
    let peer = listener.local_addr().expect("an address");
    let links = Links::new(runtime.handle().clone());
    let clock = Arc::new(WorkClock(AtomicU64::new(1_000_000)));
    let (tx, rx) = mpsc::channel();
    for _ in 0..INPUTS {
        tx.send(Input::Event(Event::StopAnnounced)).expect("the queue is open");
    }
    let turns: Arc<Mutex<Vec<Time>>> = Arc::default();
    let (taken, at, of_node) = (turns.clone(), clock.clone(), clock.clone());
    turns.lock().unwrap().push(clock.now());
    let turn = move || {
        runtime.block_on(async { tokio::task::yield_now().await });
        taken.lock().unwrap().push(at.now());
    };
    let end = Mutex::new(Some(tx));
    let build = move |_| {
        let mut node = Node::new(me(), Box::new(SeededRandom(1)));
        let end = end.lock().unwrap().take();
        node.add(Box::new(Busy { clock: of_node.clone(), peer, left: INPUTS, end }));
        (node, vec![])
    };
    let driver = Driver {
        clock: clock.clone(),
        links: links.clone(),
        disk: None,
        build: Box::new(build),
        act: Box::new(|_| {}),
        turn: Box::new(turn),
    };
    driver.run(rx);
    let mut turns = turns.lock().unwrap();
    turns.push(clock.now());
    let longest = turns.windows(2).map(|pair| pair[1].since(pair[0])).max().unwrap_or(Span(u64::MAX));
    println!("{} turns, the longest work between two {longest}", turns.len());
    assert!(longest <= WORK_BETWEEN_TURNS + WORK_OF_INPUT, "the runtime was kept from sending for {longest}");
    assert!(listener.set_nonblocking(true).is_ok() && listener.accept().is_ok(), "nothing has left the node");
}

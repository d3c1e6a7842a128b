//! Crowds of all kinds on real processes, in an order drawn from a seed, overlapping with restarts and signals.
//! More seeds: `SPINDLEDOCK_SEEDS=1..50 cargo test --release --test platform_crowd_soak`.

mod platform_crowd;

use platform_crowd::clients::{Body, Crowd, Holders, Request};
use platform_crowd::fleet::CrowdFleet;
use platform_crowd::runner::{LARGE_IDEMPOTENT_PATH, LARGE_PATH};
use platform_crowd::{MAX_BODY_BYTES, alone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// The seeds that are played without `SPINDLEDOCK_SEEDS`.
const SEEDS: Range<u64> = 1..3;
/// How many crowds come in one run.
const CROWDS: usize = 6;
/// How many clients the largest crowd has.
const MAX_CLIENTS: usize = 60;
const CALL_BYTES: usize = 7 << 20;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SPINDLEDOCK_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("SPINDLEDOCK_SEEDS is FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Clients that stay until they are dropped.
enum Guests {
    Crowd(Crowd),
    Holders(Holders),
}

fn body(random: &mut ChaCha8Rng, most: usize) -> Body {
    match random.random_range(0..4) {
        0 => Body::Length { announced: most as u64, sent: random.random_range(0..=most) },
        1 => Body::Length { announced: 8 << 30, sent: 16 << 20 },
        2 => Body::Chunks { size: 1, count: random.random_range(0..400_000), whole: random.random() },
        _ => Body::Chunks { size: 64 << 10, count: random.random_range(0..200), whole: random.random() },
    }
}

async fn come(fleet: &CrowdFleet, random: &mut ChaCha8Rng) -> Guests {
    let count = random.random_range(1..=MAX_CLIENTS);
    let control = fleet.control(random.random_range(0..3));
    match random.random_range(0..5) {
        0 => {
            let line = ["POST /once/x", "POST /once/held", "POST /idem/x"][random.random_range(0..3)];
            let request = Request { line, body: body(random, MAX_BODY_BYTES) };
            Guests::Crowd(Crowd::send(fleet.front(), count, request).await)
        }
        1 => {
            let line = ["PUT /spindledock/config", "PATCH /spindledock/config"][random.random_range(0..2)];
            let request = Request { line, body: body(random, CALL_BYTES) };
            let door = if random.random() { control } else { fleet.readiness() };
            Guests::Crowd(Crowd::send(door, count, request).await)
        }
        2 => {
            let path = if random.random() { LARGE_PATH } else { LARGE_IDEMPOTENT_PATH };
            let text = format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: 5\r\n\r\n");
            Guests::Crowd(Crowd::ask(fleet.front(), count, text.as_bytes()).await)
        }
        3 => Guests::Holders(Holders::start(fleet.front(), 10 * count, b"").await),
        _ => Guests::Holders(
            Holders::start(control, 10 * count, b"GET /spindledock/config HTTP/1.1\r\n").await,
        ),
    }
}

fn trouble(fleet: &mut CrowdFleet, random: &mut ChaCha8Rng) {
    let signal = if random.random() { libc::SIGKILL } else { libc::SIGTERM };
    match random.random_range(0..4) {
        0 => fleet.restart(None, signal),
        1 => fleet.restart(Some(random.random_range(0..3)), signal),
        2 => fleet.hang_up(),
        _ => {}
    }
}

async fn run(seed: u64) {
    println!("seed {seed}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = CrowdFleet::start(&format!("soak-{seed}")).await;
    let mut guests: Vec<Guests> = Vec::new();
    for _ in 0..CROWDS {
        guests.push(come(&fleet, &mut random).await);
        trouble(&mut fleet, &mut random);
        if random.random() {
            guests.swap_remove(random.random_range(0..guests.len()));
        }
    }
    fleet.expect_unharmed().await;
    println!("{} crowds are there still", guests.iter().filter(|g| g.clients() > 0).count());
}

impl Guests {
    fn clients(&self) -> usize {
        match self {
            Guests::Crowd(crowd) => crowd.links.len(),
            Guests::Holders(holders) => holders.count(),
        }
    }
}

#[tokio::test]
async fn given_crowds_restarts_and_signals_that_overlap_then_nodes_live_and_ordinary_callers_are_served() {
    let _alone = alone().await;
    for seed in seeds() {
        run(seed).await;
    }
}

#![allow(dead_code)]

pub mod maps;

use spindledock::sim::{World, check};
use std::ops::Range;

pub fn seeded(dflt: Range<u64>, story: impl Fn(u64)) {
    let more: u64 = std::env::var("SPINDLEDOCK_MORE").ok().and_then(|t| t.parse().ok()).unwrap_or(1);
    let span = (dflt.end - dflt.start) * more;
    for seed in dflt.start..dflt.start + span {
        println!("seed {seed}");
        story(seed);
    }
}

pub fn sound(w: &World) {
    let bad = check::all(w);
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

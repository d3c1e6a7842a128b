//! The stand-ins and the cases of the review; `run.sh` of a case starts `stand CASE FOLDER`.

mod fleet;
mod http;
mod hung;
mod parts;
mod runner;
mod stopped;
mod truncated;
mod unframed;
mod withdrawn;

use std::collections::BTreeMap;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((what, rest)) = args.split_first() else { panic!("name a case") };
    if what == "runner" {
        let mut opts = BTreeMap::new();
        for pair in rest.chunks(2) {
            opts.insert(
                pair[0].trim_start_matches("--").to_string(),
                pair.get(1).cloned().unwrap_or_default(),
            );
        }
        return runner::main(opts);
    }
    let folder = rest.first().expect("the folder of the case");
    match what.as_str() {
        "truncated" => truncated::truncated(folder),
        "withdrawn" => withdrawn::withdrawn(folder),
        "hung" => hung::hung(folder),
        "stopped" => stopped::stopped(folder),
        "unframed" => unframed::unframed(folder),
        _ => panic!("an unknown case"),
    }
}

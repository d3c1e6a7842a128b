//! Case 3.

use crate::fleet::{Fleet, FRONT};
use crate::http::Conn;
use crate::parts::{chat, engine, send, CHAT, LIMITS};
use std::thread;
use std::time::Duration;

/// A model that the operator withdraws from a service while runners hold it.
pub fn withdrawn(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    f.start(1);
    let weights = "ma=72700,mb=72700,mc=72700,md=72700".to_string();
    for (n, host) in [(1, 51), (2, 52)] {
        let opts = [
            ("holds", "ma,mb,mc".to_string()),
            ("weights", weights.clone()),
            ("room", "230000".into()),
            ("load-ms", "1600".into()),
            ("events", "10".into()),
        ];
        f.runner(&format!("i-llm{n}"), host, "llm", &opts);
    }
    let all = engine(&["ma", "mb", "mc", "md"]);
    f.change("PUT", 0, &format!(r#"{{"Revision":1,"RouteMap":[{CHAT}],"Backends":[{all}],{LIMITS}}}"#));
    f.until_ready(1);
    thread::sleep(Duration::from_secs(8));
    let front = f.at(11, FRONT);
    let ask = |id: &str, model: &str| {
        let Ok(mut c) = Conn::connect(front) else { return "no connection".to_string() };
        let got = send(&mut c, &chat(id, model), b"{}", Duration::from_secs(16));
        format!(
            "{id} {model}: {} body={} whole={}",
            got.message.line,
            got.message.body.len(),
            got.message.whole
        )
    };
    for n in 0..6 {
        let model = ["ma", "mb"][n % 2];
        f.note(&ask(&format!("b{n}"), model));
    }
    if f.trouble {
        f.change(
            "PATCH",
            1,
            &format!(r#"{{"Revision":2,"Upsert":{{"Backends":[{}]}}}}"#, engine(&["ma", "mb", "md"])),
        );
        thread::sleep(Duration::from_secs(5));
    }
    // Clients retry what was refused, as they do.
    for n in 0..6 {
        let told = ask(&format!("c{n}"), "md");
        f.note(&told);
        if told.contains(" 200 ") {
            break;
        }
        thread::sleep(Duration::from_millis(1500));
    }
    thread::sleep(Duration::from_secs(2));
    let log = f.runs_log();
    let over: Vec<String> =
        log.lines().filter(|l| l.contains(" OVER ")).map(|l| format!("LIMIT {l}")).collect();
    f.finish(&over)
}

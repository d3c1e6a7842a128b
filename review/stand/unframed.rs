//! Case 5.

use crate::fleet::{Fleet, FRONT, KILL};
use crate::http::Conn;
use crate::parts::{chat, engine, send, Got, CHAT, LIMITS};
use std::thread;
use std::time::Duration;

/// A stream without a length whose runner is killed in the middle of an event.
pub fn unframed(folder: &str) -> ! {
    let mut f = Fleet::new(folder);
    f.start(1);
    for n in 1..=6u8 {
        let opts = [
            ("holds", "ma".to_string()),
            ("weights", "ma=72700".into()),
            ("framing", "close".into()),
            ("events", "40".into()),
            ("gap-ms", "20".into()),
            ("inner-ms", "60".into()),
        ];
        f.runner(&format!("i-llm{n}"), 50 + n, "llm", &opts);
    }
    let all = engine(&["ma"]);
    f.change("PUT", 0, &format!(r#"{{"Revision":1,"RouteMap":[{CHAT}],"Backends":[{all}],{LIMITS}}}"#));
    f.until_ready(1);
    thread::sleep(Duration::from_secs(8));
    let front = f.at(11, FRONT);
    let mut broken = Vec::new();
    // Calls with nothing wrong, which also earn the budget for further tries.
    let calm: Vec<_> = (0..12)
        .map(|n| {
            thread::spawn(move || {
                let mut c = Conn::connect(front).expect("the router listens");
                send(&mut c, &chat(&format!("d{n:x}"), "ma"), b"{}", Duration::from_secs(16))
            })
        })
        .collect();
    for (n, client) in calm.into_iter().enumerate() {
        let got = client.join().expect("a client");
        f.note(&judge(&format!("d{n:x}"), &got, &mut broken));
    }
    let client = thread::spawn(move || {
        let mut c = Conn::connect(front).expect("the router listens");
        send(&mut c, &chat("e0", "ma"), b"{}", Duration::from_secs(16))
    });
    // The kill falls between the two halves of an event, as the runner's log shows it.
    thread::sleep(Duration::from_millis(1500));
    if f.trouble {
        let log = f.runs_log();
        let row = log.lines().find(|l| l.contains(" run id=e0 ")).unwrap_or("").to_string();
        let Some(name) = row.split(' ').nth(1) else { f.fail("the stream reached no runner") };
        f.signal(name, KILL);
        f.reap(name);
    }
    let got = client.join().expect("a client");
    f.note(&judge("e0", &got, &mut broken));
    f.note(&format!(
        "the end of e0: {:?}",
        String::from_utf8_lossy(&got.message.body[got.message.body.len().saturating_sub(60)..])
    ));
    f.finish(&broken)
}

fn judge(id: &str, got: &Got, broken: &mut Vec<String>) -> String {
    let body = String::from_utf8_lossy(&got.message.body).into_owned();
    let ids: Vec<u64> = body.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect();
    let text =
        format!("{id}: {} events={} ends as complete={}", got.message.line, ids.len(), got.message.whole);
    if got.message.status() == 200
        && got.message.whole
        && ids != (1..=40).map(|n| n * 5).collect::<Vec<u64>>()
    {
        broken.push(format!("ORDER {text}"));
    }
    text
}

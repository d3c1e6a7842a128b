mod platform_given;
#[path = "platform_given/road.rs"]
mod road;

use platform_given::whole;
use road::{Road, answer, body, good, not_run, say, status, value};
use spindledock::standin::raw::{Heard, Step};
use std::sync::Arc;

type Bad = fn(&Heard) -> Vec<Step>;

fn id(h: &Heard) -> &str {
    h.head("x-request-id")
}

const BROKEN: [(&str, Bad); 9] = [
    ("closed without a word", |_| vec![Step::Close]),
    ("bytes that form no answer", |_| vec![say("\u{1}\u{2}rubbish\r\n\r\n"), Step::Close]),
    ("half a head", |_| vec![say("HTTP/1.1 200 OK\r\nx-req"), Step::Close]),
    ("half a body", |h| {
        vec![
            say(format!(
                "HTTP/1.1 200 X\r\nx-request-id: {}\r\nx-server-seal: 3\r\ncontent-length: 9\r\n\r\nhalf",
                id(h)
            )),
            Step::Close,
        ]
    }),
    ("no stamp", |h| vec![answer(200, id(h), "", "unsealed")]),
    ("an encoded body", |h| {
        vec![answer(200, id(h), "x-server-seal: 3\r\ncontent-encoding: gzip\r\n", "zzz")]
    }),
    ("another order's answer", |_| vec![answer(200, "other", "x-server-seal: 3\r\n", "theirs")]),
    ("another order's turning away", |_| vec![answer(421, "other", "x-not-executed: 1\r\n", "theirs")]),
    ("a promise that it doesn't make", |h| vec![answer(503, id(h), "", "perhaps")]),
];

fn first(bad: Bad) -> spindledock::standin::raw::Script {
    Arc::new(move |n, h| if n == 0 { bad(h) } else { vec![good(h, "whole")] })
}

#[tokio::test]
async fn given_a_broken_answer_when_the_order_is_idempotent_then_another_runner_gives_the_whole_one() {
    for (what, bad) in BROKEN {
        let road = Road::open(2, 3, 5, first(bad)).await;
        let got = road.ask("q1", "/idem/x").await;
        assert_eq!((status(&got), body(&got).as_deref()), (200, Some("whole")), "{what}: {got}");
        assert_eq!((value(&got, "x-request-id"), value(&got, "x-server-seal")), (Some("q1"), Some("3e1b")));
        let heard = road.heard();
        assert!(heard.len() == 2 && heard[0].runner != heard[1].runner, "{what}: {heard:?}");
    }
}

#[tokio::test]
async fn given_a_broken_answer_when_the_order_may_run_once_then_it_is_sent_once_and_promises_nothing() {
    for (what, bad) in BROKEN {
        for path in ["/once/x", "/rare/x"] {
            let road = Road::open(2, 3, 5, first(bad)).await;
            let got = road.ask("q1", path).await;
            assert_eq!(road.heard().len(), 1, "{what}");
            assert!(!matches!(status(&got), 408 | 421 | 429 | 503), "{what}: {got}");
            assert!(status(&got) == 502 || body(&got).is_none(), "{what}: {got}");
        }
    }
}

#[tokio::test]
async fn given_runners_that_all_break_off_when_tries_or_budget_are_spent_then_no_more_are_sent() {
    for (tries, saved, want) in [(3, 8, 3), (2, 8, 2), (1, 8, 1), (4, 0, 1), (4, 2, 3)] {
        let road = Road::open(5, tries, saved, Arc::new(|_, _| vec![Step::Close])).await;
        let got = road.ask("q1", "/idem/x").await;
        assert_eq!((status(&got), road.heard().len()), (502, want), "{tries} tries, {saved} saved: {got}");
    }
}

#[tokio::test]
async fn given_a_runner_that_says_not_run_when_another_is_there_then_it_goes_there() {
    for code in [503, 429, 421, 400] {
        for path in ["/idem/x", "/once/x", "/flow/x", "/rare/x"] {
            let script =
                Arc::new(move |n, h: &Heard| vec![if n == 0 { not_run(code, h) } else { good(h, "whole") }]);
            let road = Road::open(2, 3, 5, script).await;
            let got = road.ask("q1", path).await;
            assert_eq!((status(&got), body(&got).as_deref()), (200, Some("whole")), "{code} {path}: {got}");
            let heard = road.heard();
            assert!(heard.len() == 2 && heard[0].runner != heard[1].runner);
        }
    }
}

#[tokio::test]
async fn given_runners_that_all_say_not_run_when_tries_are_spent_then_the_refusal_names_a_time_at_once() {
    for path in ["/idem/x", "/once/x", "/flow/x"] {
        let road = Road::open(4, 2, 5, Arc::new(|_, h| vec![not_run(503, h)])).await;
        let got = road.ask("q1", path).await;
        assert_eq!((status(&got), road.heard().len()), (503, 2), "{got}");
        let wait: f64 = value(&got, "retry-after").and_then(|t| t.parse().ok()).expect("a time");
        assert!(wait > 0.0 && wait < 5.0, "{wait}");
    }
}

#[tokio::test]
async fn given_an_order_that_was_lost_when_the_next_runner_says_not_run_then_no_promise_is_made() {
    let script = Arc::new(|n, h: &Heard| vec![if n == 0 { Step::Close } else { not_run(503, h) }]);
    let road = Road::open(2, 2, 5, script).await;
    let got = road.ask("q1", "/idem/x").await;
    assert_eq!((status(&got), road.heard().len()), (502, 2), "{got}");
}

#[tokio::test]
async fn given_no_routes_no_route_or_a_stopping_router_when_asked_then_the_answer_comes_at_once() {
    let road = Road::start(1, 2, Arc::new(|_, h| vec![good(h, "whole")])).await;
    let got = road.ask("q1", "/idem/x").await;
    assert!(status(&got) == 503 && value(&got, "retry-after").is_some(), "{got}");
    road.learn();
    let got = road.ask("q1", "/gone/x").await;
    assert!(status(&got) == 404 && value(&got, "retry-after").is_none(), "{got}");
    road.front.is_stopping.store(true, std::sync::atomic::Ordering::SeqCst);
    let got = road.ask("q1", "/idem/x").await;
    assert!(status(&got) == 503 && value(&got, "retry-after").is_some(), "{got}");
    assert!(road.heard().is_empty());
    assert!(whole(&road.config).is_ok());
}

//! Forwarding to runners that answer wrongly, break off or decline: who gets a retry, and what the client is told.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use platform_given::read_document;
use spindledock::standin::raw::{Heard, Step};
use std::sync::Arc;
use test_router::{TestRouter, answer, body, header, not_executed, sealed_answer, status, write_text};

type Bad = fn(&Heard) -> Vec<Step>;

fn id(h: &Heard) -> &str {
    h.head("x-request-id")
}

const BROKEN: [(&str, Bad); 9] = [
    ("closed without a word", |_| vec![Step::Close]),
    ("bytes that form no answer", |_| vec![write_text("\u{1}\u{2}rubbish\r\n\r\n"), Step::Close]),
    ("half a head", |_| vec![write_text("HTTP/1.1 200 OK\r\nx-req"), Step::Close]),
    ("half a body", |h| {
        vec![
            write_text(format!(
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
    Arc::new(move |n, h| if n == 0 { bad(h) } else { vec![sealed_answer(h, "whole")] })
}

#[tokio::test]
async fn given_a_broken_answer_when_the_request_is_idempotent_then_another_runner_gives_the_whole_one() {
    for (what, bad) in BROKEN {
        let router = TestRouter::open(2, 3, 5, first(bad)).await;
        let got = router.get("q1", "/idem/x").await;
        assert_eq!((status(&got), body(&got).as_deref()), (200, Some("whole")), "{what}: {got}");
        assert_eq!((header(&got, "x-request-id"), header(&got, "x-server-seal")), (Some("q1"), Some("3e1b")));
        let heard = router.received();
        assert!(heard.len() == 2 && heard[0].runner != heard[1].runner, "{what}: {heard:?}");
    }
}

#[tokio::test]
async fn given_a_broken_answer_when_the_request_may_run_once_then_it_is_sent_once_and_promises_nothing() {
    for (what, bad) in BROKEN {
        for path in ["/once/x", "/rare/x"] {
            let router = TestRouter::open(2, 3, 5, first(bad)).await;
            let got = router.get("q1", path).await;
            assert_eq!(router.received().len(), 1, "{what}");
            assert!(!matches!(status(&got), 408 | 421 | 429 | 503), "{what}: {got}");
            assert!(status(&got) == 502 || body(&got).is_none(), "{what}: {got}");
        }
    }
}

#[tokio::test]
async fn given_runners_that_all_break_off_when_tries_or_budget_are_spent_then_no_more_are_sent() {
    for (tries, saved, want) in [(3, 8, 3), (2, 8, 2), (1, 8, 1), (4, 0, 1), (4, 2, 3)] {
        let router = TestRouter::open(5, tries, saved, Arc::new(|_, _| vec![Step::Close])).await;
        let got = router.get("q1", "/idem/x").await;
        assert_eq!(
            (status(&got), router.received().len()),
            (502, want),
            "{tries} tries, {saved} saved: {got}"
        );
    }
}

#[tokio::test]
async fn given_a_runner_that_says_not_run_when_another_is_there_then_it_goes_there() {
    for code in [503, 429, 421, 400] {
        for path in ["/idem/x", "/once/x", "/flow/x", "/rare/x"] {
            let script = Arc::new(move |n, h: &Heard| {
                vec![if n == 0 { not_executed(code, h) } else { sealed_answer(h, "whole") }]
            });
            let router = TestRouter::open(2, 3, 5, script).await;
            let got = router.get("q1", path).await;
            assert_eq!((status(&got), body(&got).as_deref()), (200, Some("whole")), "{code} {path}: {got}");
            let heard = router.received();
            assert!(heard.len() == 2 && heard[0].runner != heard[1].runner);
        }
    }
}

#[tokio::test]
async fn given_runners_that_all_say_not_run_when_tries_are_spent_then_the_refusal_names_a_time_at_once() {
    for path in ["/idem/x", "/once/x", "/flow/x"] {
        let router = TestRouter::open(4, 2, 5, Arc::new(|_, h| vec![not_executed(503, h)])).await;
        let got = router.get("q1", path).await;
        assert_eq!((status(&got), router.received().len()), (503, 2), "{got}");
        let wait: f64 = header(&got, "retry-after").and_then(|t| t.parse().ok()).expect("a time");
        assert!(wait > 0.0 && wait < 5.0, "{wait}");
    }
}

#[tokio::test]
async fn given_a_request_that_was_lost_when_the_next_runner_says_not_run_then_no_promise_is_made() {
    let script = Arc::new(|n, h: &Heard| vec![if n == 0 { Step::Close } else { not_executed(503, h) }]);
    let router = TestRouter::open(2, 2, 5, script).await;
    let got = router.get("q1", "/idem/x").await;
    assert_eq!((status(&got), router.received().len()), (502, 2), "{got}");
}

#[tokio::test]
async fn given_no_routes_no_route_or_a_stopping_router_when_asked_then_the_answer_comes_at_once() {
    let router = TestRouter::start(1, 2, Arc::new(|_, h| vec![sealed_answer(h, "whole")])).await;
    let got = router.get("q1", "/idem/x").await;
    assert!(status(&got) == 503 && header(&got, "retry-after").is_some(), "{got}");
    router.publish_config();
    let got = router.get("q1", "/gone/x").await;
    assert!(status(&got) == 404 && header(&got, "retry-after").is_none(), "{got}");
    router.front.is_stopping.store(true, std::sync::atomic::Ordering::SeqCst);
    let got = router.get("q1", "/idem/x").await;
    assert!(status(&got) == 503 && header(&got, "retry-after").is_some(), "{got}");
    assert!(router.received().is_empty());
    assert!(read_document(&router.config).is_ok());
}

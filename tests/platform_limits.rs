//! The limits on client connections: the size of a request head, the time it may take, and the idle time between
//! requests.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use std::sync::Arc;
use test_router::{LONG, TestRouter, read_answer, read_to_end, request_text, sealed_answer, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD_BYTES: usize = 2000;
const HEAD_MS: u64 = 3000;
const IDLE_MS: u64 = 15_000;

fn limits(head_bytes: usize, idle_ms: u64) -> String {
    format!(
        r#","Limits":{{"MaxHeaderBytes":{head_bytes},"MaxBodyBytes":4096,"HeaderTimeoutMs":{HEAD_MS},"IdleTimeoutMs":{idle_ms}}}}}"#
    )
}

async fn open() -> TestRouter {
    let mut router = TestRouter::start(1, 3, Arc::new(|_, h| vec![sealed_answer(h, "mine")])).await;
    let plain = router.config.strip_suffix('}').expect("an object").to_string();
    router.config = plain + &limits(HEAD_BYTES, IDLE_MS);
    router.publish_config();
    router.front.sweep();
    router
}

fn advance_and_sweep(router: &TestRouter, ms: u64) {
    router.advance(ms);
    router.front.sweep();
}

async fn served(link: &mut TcpStream, id: &str) {
    link.write_all(request_text(id, "/once/x", "").as_bytes()).await.expect("sent");
    let got = read_answer(link).await;
    assert_eq!(status(&got), 200, "{id}: {got}");
}

fn sized(bytes: usize, more: &str) -> String {
    let bare = request_text("q1", "/once/x", &format!("{more}x-fill: \r\n")).len();
    request_text("q1", "/once/x", &format!("{more}x-fill: {}\r\n", "a".repeat(bytes - bare)))
}

#[tokio::test]
async fn given_a_limit_on_heads_when_one_is_as_long_then_it_is_served_and_a_longer_one_reaches_no_runner() {
    let router = open().await;
    let close = "connection: close\r\n";
    let got = router.exchange(sized(HEAD_BYTES, close).as_bytes()).await;
    assert_eq!(status(&got), 200, "{got}");
    for over in [1, 100, 5000, 10_000, 100_000] {
        let got = router.exchange(sized(HEAD_BYTES + over, close).as_bytes()).await;
        assert!(status(&got) == 431 || got.is_empty() && over > 5000, "{over}: {got}");
    }
    assert_eq!(router.received().len(), 1);
}

#[tokio::test]
async fn given_a_limit_that_grows_when_a_connection_is_older_then_it_ends_after_its_next_answer() {
    let mut router = open().await;
    let mut link = router.connect().await;
    served(&mut link, "q1").await;
    router.config = router.config.replace(&limits(HEAD_BYTES, IDLE_MS), &limits(60_000, IDLE_MS));
    router.publish_config();
    router.front.sweep();
    link.write_all(request_text("q2", "/once/x", "").as_bytes()).await.expect("sent");
    assert_eq!(status(&read_to_end(&mut link).await), 200);
    let got = router.exchange(sized(50_000, "connection: close\r\n").as_bytes()).await;
    assert_eq!(status(&got), 200, "{got}");
}

#[tokio::test]
async fn given_a_head_that_comes_slowly_when_its_time_is_over_then_the_connection_ends_unserved() {
    let router = open().await;
    let whole = request_text("q1", "/once/x", "");
    for at in 1..whole.len() {
        let mut link = router.connect().await;
        let open = router.front.clients.count_reading_head();
        link.write_all(&whole.as_bytes()[..at]).await.expect("sent");
        while router.front.clients.count_reading_head() == open {
            tokio::task::yield_now().await;
        }
        advance_and_sweep(&router, HEAD_MS - 100);
        assert_eq!(router.front.clients.count_reading_head(), open + 1, "cut at {at}");
        advance_and_sweep(&router, 101);
        let got = read_to_end(&mut link).await;
        assert!(got.is_empty() || status(&got) == 400 || status(&got) == 408, "cut at {at}: {got}");
    }
    assert!(router.received().is_empty());
}

#[tokio::test]
async fn given_a_connection_at_rest_when_its_limit_is_not_yet_over_then_it_serves_and_later_it_ends() {
    let router = open().await;
    let mut link = router.connect().await;
    for (n, ms) in [0, IDLE_MS * 4 / 5, IDLE_MS - 1, IDLE_MS * 4 / 5].into_iter().enumerate() {
        advance_and_sweep(&router, ms);
        served(&mut link, &format!("q{n}")).await;
    }
    advance_and_sweep(&router, IDLE_MS + 1);
    assert_eq!(read_to_end(&mut link).await, "");
}

#[tokio::test]
async fn given_a_rest_that_began_under_a_longer_limit_when_the_limit_shrinks_then_the_longer_one_holds() {
    let mut router = open().await;
    let mut link = router.connect().await;
    served(&mut link, "q1").await;
    router.config = router.config.replace(&limits(HEAD_BYTES, IDLE_MS), &limits(HEAD_BYTES, 2000));
    advance_and_sweep(&router, IDLE_MS * 4 / 5);
    served(&mut link, "q2").await;
    advance_and_sweep(&router, 1999);
    served(&mut link, "q3").await;
    advance_and_sweep(&router, 2001);
    assert_eq!(read_to_end(&mut link).await, "");
}

#[tokio::test]
async fn given_a_request_under_way_when_every_limit_is_over_then_it_is_answered_all_the_same() {
    let go = Arc::new(tokio::sync::Notify::new());
    let hold = go.clone();
    let script = Arc::new(move |_, h: &spindledock::standin::raw::Heard| {
        vec![spindledock::standin::raw::Step::Wait(hold.clone()), sealed_answer(h, "mine")]
    });
    let mut router = TestRouter::start(1, 3, script).await;
    let plain = router.config.strip_suffix('}').expect("an object").replace("8000", "600000");
    router.config = plain + &limits(HEAD_BYTES, IDLE_MS);
    router.publish_config();
    router.front.sweep();
    let mut link = router.connect().await;
    link.write_all(request_text("q1", "/once/x", "").as_bytes()).await.expect("sent");
    router.runners.until(1).await;
    advance_and_sweep(&router, IDLE_MS * 3);
    go.notify_one();
    assert_eq!(status(&read_answer(&mut link).await), 200);
    let mut byte = [0u8; 1];
    advance_and_sweep(&router, IDLE_MS + 1);
    let end = tokio::time::timeout(LONG, link.read(&mut byte)).await.expect("an end");
    assert_eq!(end.unwrap_or(0), 0);
}

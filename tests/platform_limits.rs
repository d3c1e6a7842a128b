//! The limits on clients: the size of a head, the time it may take, and the rest between requests.

mod platform_given;
#[path = "platform_given/road.rs"]
mod road;

use road::{LONG, Road, good, one, order, rest, status};
use std::sync::Arc;
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

async fn open() -> Road {
    let mut road = Road::start(1, 3, Arc::new(|_, h| vec![good(h, "mine")])).await;
    let plain = road.config.strip_suffix('}').expect("an object").to_string();
    road.config = plain + &limits(HEAD_BYTES, IDLE_MS);
    road.learn();
    road.front.sweep();
    road
}

fn pass(road: &Road, ms: u64) {
    road.pass(ms);
    road.front.sweep();
}

async fn served(link: &mut TcpStream, id: &str) {
    link.write_all(order(id, "/once/x", "").as_bytes()).await.expect("sent");
    let got = one(link).await;
    assert_eq!(status(&got), 200, "{id}: {got}");
}

fn sized(bytes: usize, more: &str) -> String {
    let bare = order("q1", "/once/x", &format!("{more}x-fill: \r\n")).len();
    order("q1", "/once/x", &format!("{more}x-fill: {}\r\n", "a".repeat(bytes - bare)))
}

#[tokio::test]
async fn given_a_limit_on_heads_when_one_is_as_long_then_it_is_served_and_a_longer_one_reaches_no_runner() {
    let road = open().await;
    let close = "connection: close\r\n";
    let got = road.raw(sized(HEAD_BYTES, close).as_bytes()).await;
    assert_eq!(status(&got), 200, "{got}");
    for over in [1, 100, 5000, 10_000, 100_000] {
        let got = road.raw(sized(HEAD_BYTES + over, close).as_bytes()).await;
        assert!(status(&got) == 431 || got.is_empty() && over > 5000, "{over}: {got}");
    }
    assert_eq!(road.heard().len(), 1);
}

#[tokio::test]
async fn given_a_limit_that_grows_when_a_connection_is_older_then_it_ends_after_its_next_answer() {
    let mut road = open().await;
    let mut link = road.link().await;
    served(&mut link, "q1").await;
    road.config = road.config.replace(&limits(HEAD_BYTES, IDLE_MS), &limits(60_000, IDLE_MS));
    road.learn();
    road.front.sweep();
    link.write_all(order("q2", "/once/x", "").as_bytes()).await.expect("sent");
    assert_eq!(status(&rest(&mut link).await), 200);
    let got = road.raw(sized(50_000, "connection: close\r\n").as_bytes()).await;
    assert_eq!(status(&got), 200, "{got}");
}

#[tokio::test]
async fn given_a_head_that_comes_slowly_when_its_time_is_over_then_the_connection_ends_unserved() {
    let road = open().await;
    let whole = order("q1", "/once/x", "");
    for at in 1..whole.len() {
        let mut link = road.link().await;
        let open = road.front.clients.count_reading_head();
        link.write_all(&whole.as_bytes()[..at]).await.expect("sent");
        while road.front.clients.count_reading_head() == open {
            tokio::task::yield_now().await;
        }
        pass(&road, HEAD_MS - 100);
        assert_eq!(road.front.clients.count_reading_head(), open + 1, "cut at {at}");
        pass(&road, 101);
        let got = rest(&mut link).await;
        assert!(got.is_empty() || status(&got) == 400 || status(&got) == 408, "cut at {at}: {got}");
    }
    assert!(road.heard().is_empty());
}

#[tokio::test]
async fn given_a_connection_at_rest_when_its_limit_is_not_yet_over_then_it_serves_and_later_it_ends() {
    let road = open().await;
    let mut link = road.link().await;
    for (n, ms) in [0, IDLE_MS * 4 / 5, IDLE_MS - 1, IDLE_MS * 4 / 5].into_iter().enumerate() {
        pass(&road, ms);
        served(&mut link, &format!("q{n}")).await;
    }
    pass(&road, IDLE_MS + 1);
    assert_eq!(rest(&mut link).await, "");
}

#[tokio::test]
async fn given_a_rest_that_began_under_a_longer_limit_when_the_limit_shrinks_then_the_longer_one_holds() {
    let mut road = open().await;
    let mut link = road.link().await;
    served(&mut link, "q1").await;
    road.config = road.config.replace(&limits(HEAD_BYTES, IDLE_MS), &limits(HEAD_BYTES, 2000));
    pass(&road, IDLE_MS * 4 / 5);
    served(&mut link, "q2").await;
    pass(&road, 1999);
    served(&mut link, "q3").await;
    pass(&road, 2001);
    assert_eq!(rest(&mut link).await, "");
}

#[tokio::test]
async fn given_a_request_under_way_when_every_limit_is_over_then_it_is_answered_all_the_same() {
    let go = Arc::new(tokio::sync::Notify::new());
    let hold = go.clone();
    let script = Arc::new(move |_, h: &spindledock::standin::raw::Heard| {
        vec![spindledock::standin::raw::Step::Wait(hold.clone()), good(h, "mine")]
    });
    let mut road = Road::start(1, 3, script).await;
    let plain = road.config.strip_suffix('}').expect("an object").replace("8000", "600000");
    road.config = plain + &limits(HEAD_BYTES, IDLE_MS);
    road.learn();
    road.front.sweep();
    let mut link = road.link().await;
    link.write_all(order("q1", "/once/x", "").as_bytes()).await.expect("sent");
    road.runners.until(1).await;
    pass(&road, IDLE_MS * 3);
    go.notify_one();
    assert_eq!(status(&one(&mut link).await), 200);
    let mut byte = [0u8; 1];
    pass(&road, IDLE_MS + 1);
    let end = tokio::time::timeout(LONG, link.read(&mut byte)).await.expect("an end");
    assert_eq!(end.unwrap_or(0), 0);
}

//! Request smuggling: malformed or ambiguous requests are rejected, and no request hidden in a body reaches a runner.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use std::sync::Arc;
use test_router::{TestRouter, read_to_end, request_text, sealed_answer, status};
use tokio::io::AsyncWriteExt;

const HEAD: &str = "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: outer\r\n";

async fn open() -> TestRouter {
    TestRouter::open(2, 3, 5, Arc::new(|_, h| vec![sealed_answer(h, "whole")])).await
}

fn inner() -> String {
    request_text("inner", "/once/inner", "")
}

#[tokio::test]
async fn given_a_request_that_is_malformed_when_it_comes_then_it_is_turned_away_and_reaches_no_runner() {
    for (what, more) in [
        ("two lengths", "content-length: 4\r\ncontent-length: 5\r\n\r\nabcde"),
        ("a list of lengths", "content-length: 4, 5\r\n\r\nabcde"),
        ("a signed length", "content-length: +4\r\n\r\nabcd"),
        ("a negative length", "content-length: -1\r\n\r\n"),
        ("a length in hex", "content-length: 0x4\r\n\r\nabcd"),
        ("another coding last", "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
        ("an unknown coding", "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n"),
        ("a folded line", "x-a: b\r\n c\r\ncontent-length: 0\r\n\r\n"),
        ("a folded coding", "transfer-encoding:\r\n chunked\r\n\r\n0\r\n\r\n"),
        ("a blank before the colon", "content-length : 4\r\n\r\nabcd"),
        ("a head without a colon", "nothing\r\n\r\n"),
        ("a bare CR in a value", "x-a: b\rc: d\r\n\r\n"),
        ("a NUL in a value", "x-a: b\0c\r\n\r\n"),
        ("a chunk size that is none", "transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"),
        ("a signed chunk size", "transfer-encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n"),
        ("a chunk size too large", "transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
        ("a chunk longer than its size", "transfer-encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n"),
    ] {
        let router = open().await;
        let got = router.exchange(format!("{HEAD}{more}{}", inner()).as_bytes()).await;
        assert!(got.is_empty() || (400..500).contains(&status(&got)), "{what}: {got}");
        assert!(router.received().is_empty(), "{what}: {:?}", router.received());
        assert_eq!(got.matches("HTTP/1.1").count(), usize::from(!got.is_empty()), "{what}: {got}");
    }
}

#[tokio::test]
async fn given_a_head_that_is_too_large_when_it_comes_then_it_is_turned_away_and_reaches_no_runner() {
    let many: String = (0..200).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long = format!("x-a: {}\r\n", "a".repeat(600_000));
    let path = format!("POST /once/{} HTTP/1.1\r\nhost: a.example\r\n\r\n", "a".repeat(70_000));
    for raw in [format!("{HEAD}{many}\r\n"), format!("{HEAD}{long}\r\n"), path] {
        let router = open().await;
        let got = router.exchange(raw.as_bytes()).await;
        assert!(got.is_empty() || (400..500).contains(&status(&got)), "{got}");
        assert!(router.received().is_empty());
    }
}

#[tokio::test]
async fn given_a_length_beside_chunks_when_a_request_hides_in_the_rest_then_the_hidden_one_never_runs() {
    let hidden = inner();
    let size = hidden.len() + 5;
    for heads in [
        format!("content-length: {size}\r\ntransfer-encoding: chunked\r\n"),
        format!("transfer-encoding: chunked\r\ncontent-length: {size}\r\n"),
    ] {
        let router = open().await;
        let got = router.exchange(format!("{HEAD}{heads}\r\n0\r\n\r\n{hidden}").as_bytes()).await;
        let lines: Vec<String> = router.received().into_iter().map(|h| h.line).collect();
        assert!(lines.iter().all(|l| !l.contains("inner")), "{lines:?}");
        assert_eq!(got.matches("HTTP/1.1").count(), 1, "{got}");
    }
}

#[tokio::test]
async fn given_a_body_that_ends_early_when_the_caller_goes_then_nothing_reaches_a_runner() {
    for more in ["content-length: 10\r\n\r\nabc", "transfer-encoding: chunked\r\n\r\n5\r\nab"] {
        let router = open().await;
        let mut link = router.connect().await;
        link.write_all(format!("{HEAD}{more}").as_bytes()).await.expect("sent");
        link.shutdown().await.expect("shut");
        let got = read_to_end(&mut link).await;
        assert!(got.is_empty() || status(&got) == 400, "{got}");
        assert!(router.received().is_empty());
    }
}

#[tokio::test]
async fn given_requests_sent_one_behind_the_other_when_each_is_proper_then_each_is_answered_in_turn() {
    let router = open().await;
    let both = format!(
        "{}{}",
        request_text("q1", "/once/a", ""),
        request_text("q2", "/once/b", "connection: close\r\n")
    );
    let got = router.exchange(both.as_bytes()).await;
    let ids: Vec<&str> = got.lines().filter_map(|l| l.strip_prefix("x-request-id: ")).collect();
    assert_eq!(ids, ["q1", "q2"], "{got}");
    assert_eq!(router.received().len(), 2);
}

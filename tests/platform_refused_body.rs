//! Requests whose bodies are refused before they have arrived: the client gets the answer all the same.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use std::sync::Arc;
use test_router::{TestRouter, body, header, read_answer, read_to_end, sealed_answer, status};
use tokio::io::AsyncWriteExt;

/// The limit that the default configuration sets to a body.
const LIMIT_BYTES: usize = 64 << 20;

async fn open() -> TestRouter {
    TestRouter::open(1, 3, 1, Arc::new(|_, h| vec![sealed_answer(h, "mine")])).await
}

fn head(path: &str, announced: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: q1\r\ncontent-length: {announced}\r\n\r\n"
    )
}

#[tokio::test]
async fn given_an_announced_length_over_the_limit_then_it_is_refused_before_any_of_it_arrives() {
    let router = open().await;
    let mut link = router.connect().await;
    link.write_all(head("/once/x", LIMIT_BYTES + 1).as_bytes()).await.expect("sent");
    let got = read_answer(&mut link).await;
    assert_eq!(status(&got), 413, "{got}");
    assert!(router.received().is_empty());
}

#[tokio::test]
async fn given_a_client_that_sends_its_refused_body_to_the_end_then_it_gets_the_whole_refusal() {
    const SENT_BYTES: usize = 24 << 20;
    let router = open().await;
    for (path, announced, expected) in [("/once/x", LIMIT_BYTES + 1, 413), ("/none/x", SENT_BYTES, 404)] {
        let mut link = router.connect().await;
        link.write_all(head(path, announced).as_bytes()).await.expect("sent");
        let sent = link.write_all(&vec![b'a'; SENT_BYTES]).await;
        assert!(sent.is_ok(), "{path}: {sent:?}");
        let got = read_to_end(&mut link).await;
        assert_eq!(status(&got), expected, "{path}: {got}");
        assert_eq!(header(&got, "connection"), Some("close"), "{path}: {got}");
        assert!(body(&got).is_some(), "{path}: {got}");
    }
    assert!(router.received().is_empty());
}

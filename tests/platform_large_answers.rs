//! Answers that are larger than what a router buffers.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use std::sync::Arc;
use test_router::{TestRouter, body, sealed_answer, status};

#[tokio::test]
async fn given_an_answer_to_an_idempotent_request_of_any_size_then_its_reader_gets_all_of_it() {
    for bytes in [0, 1, 1 << 10, (1 << 20) - 1, 1 << 20, (1 << 20) + 1, 5 << 20] {
        let text = "abcdefgh".repeat(bytes / 8 + 1)[..bytes].to_string();
        let expected = text.clone();
        let router = TestRouter::open(1, 3, 1, Arc::new(move |_, h| vec![sealed_answer(h, &text)])).await;
        let got = router.get("q1", "/idem/x").await;
        assert_eq!(status(&got), 200, "{bytes}");
        assert!(body(&got).as_deref() == Some(expected.as_str()), "{bytes}");
        assert_eq!(router.received().len(), 1, "{bytes}");
    }
}

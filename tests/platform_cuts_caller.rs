//! Client requests that are cut at every byte, pipelined, random or malformed: a runner receives exactly what a client
//! sent, and each answer goes to its own request.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use spindledock::kernel::rand::{Rand, SeededRandom};
use spindledock::standin::raw::Heard;
use std::sync::Arc;
use test_router::{LONG, TestRouter, header, read_answer, read_to_end, request_text, sealed_answer, status};
use tokio::io::AsyncWriteExt;

/// One request as it is sent, and what a runner must receive of it.
struct Sent {
    id: String,
    raw: Vec<u8>,
    line: String,
    body: Vec<u8>,
}

async fn open() -> TestRouter {
    TestRouter::open(
        3,
        3,
        5,
        Arc::new(|_, h| vec![sealed_answer(h, &format!("for {}", h.head("x-request-id")))]),
    )
    .await
}

fn sent(id: String, body: Vec<u8>, parts: Option<usize>) -> Sent {
    let line = format!("POST /once/{id}?a=%20 HTTP/1.1");
    let head = format!("{line}\r\nhost: a.example\r\nx-request-id: {id}\r\n");
    let mut raw = head.into_bytes();
    match parts {
        None => {
            raw.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
            raw.extend(&body);
        }
        Some(size) => {
            raw.extend(b"transfer-encoding: chunked\r\n\r\n");
            for part in body.chunks(size) {
                raw.extend(format!("{:X}\r\n", part.len()).bytes());
                raw.extend(part);
                raw.extend(b"\r\n");
            }
            raw.extend(b"0\r\n\r\n");
        }
    }
    Sent { id, raw, line, body }
}

/// A body that looks like a request of its own.
fn nested(n: usize) -> Vec<u8> {
    let inner = request_text(&format!("inner{n}"), "/once/inner", "");
    inner.bytes().cycle().take(n).collect()
}

fn unchanged(heard: &Heard, all: &[Sent]) {
    let s = all.iter().find(|s| s.id == heard.head("x-request-id")).expect("an id that was sent");
    assert_eq!(heard.line, s.line);
    assert!(heard.body == s.body, "{}: {} bytes of {}", s.id, heard.body.len(), s.body.len());
}

#[tokio::test]
async fn given_a_request_cut_at_any_byte_when_its_caller_ends_then_nothing_of_it_reaches_a_runner() {
    for parts in [None, Some(7)] {
        let whole = sent("q1".into(), nested(40), parts);
        for at in 0..whole.raw.len() {
            let router = open().await;
            let mut link = router.connect().await;
            link.write_all(&whole.raw[..at]).await.expect("sent");
            link.shutdown().await.expect("shut");
            let got = read_to_end(&mut link).await;
            assert!(got.is_empty() || status(&got) == 400, "{at}: {got}");
            assert!(router.received().is_empty() && router.runners.odd().is_empty(), "{at}");
        }
    }
}

#[tokio::test]
async fn given_a_request_that_comes_in_two_parts_when_it_is_split_at_any_byte_then_it_arrives_unchanged() {
    for parts in [None, Some(7)] {
        let all = [sent("q1".into(), nested(40), parts)];
        let router = open().await;
        let mut link = router.connect().await;
        for at in 1..all[0].raw.len() {
            let (first, second) = all[0].raw.split_at(at);
            link.write_all(first).await.expect("sent");
            tokio::task::yield_now().await;
            link.write_all(second).await.expect("sent");
            let got = read_answer(&mut link).await;
            assert_eq!((status(&got), header(&got, "x-request-id")), (200, Some("q1")), "{at}: {got}");
        }
        let heard = router.received();
        assert_eq!(heard.len(), all[0].raw.len() - 1);
        heard.iter().for_each(|h| unchanged(h, &all));
    }
}

#[tokio::test]
async fn given_drawn_requests_one_behind_the_other_when_they_are_cut_anywhere_then_only_whole_ones_arrive() {
    for seed in 0..200 {
        let mut rand = SeededRandom(seed);
        let all: Vec<Sent> = (0..1 + rand.below(5))
            .map(|n| {
                let body = nested(rand.below(3000) as usize);
                let parts = (rand.below(2) == 0).then(|| 1 + rand.below(900) as usize);
                sent(format!("q{seed}-{n}"), body, parts)
            })
            .collect();
        let mut raw: Vec<u8> = all.iter().flat_map(|s| s.raw.clone()).collect();
        raw.truncate(1 + rand.below(raw.len() as u64) as usize);
        let whole = {
            let ends = all.iter().scan(0, |at, s| {
                *at += s.raw.len();
                Some(*at)
            });
            ends.filter(|end| *end <= raw.len()).count()
        };
        let router = open().await;
        let mut link = router.connect().await;
        for part in raw.chunks(1 + rand.below(2000) as usize) {
            link.write_all(part).await.expect("sent");
            tokio::task::yield_now().await;
        }
        tokio::time::timeout(LONG, router.runners.until(whole)).await.expect("heard");
        link.shutdown().await.expect("shut");
        let got = read_to_end(&mut link).await;
        let ids: Vec<&str> = got.lines().filter_map(|l| l.strip_prefix("x-request-id: ")).collect();
        let want: Vec<&str> = all[..whole].iter().map(|s| s.id.as_str()).collect();
        assert!(want.starts_with(&ids), "seed {seed}: {got}");
        for s in &all[..ids.len()] {
            assert!(got.contains(&format!("\r\n\r\nfor {}", s.id)), "seed {seed}: {got}");
        }
        let heard = router.received();
        assert_eq!(heard.len(), whole, "seed {seed}");
        heard.iter().for_each(|h| unchanged(h, &all));
        assert!(router.runners.odd().is_empty(), "seed {seed}");
    }
}

/// Puts a random fault into the head of a request.
fn spoil(rand: &mut SeededRandom, raw: &mut Vec<u8>) {
    let at = rand.below(raw.len() as u64) as usize;
    match rand.below(5) {
        0 => raw[at] = b" \t\r\n\0:;,+-0aZ\xff"[rand.below(14) as usize],
        1 => drop(raw.remove(at)),
        2 => raw.insert(at, b"\r\n\0 :0f"[rand.below(7) as usize]),
        3 => drop(raw.splice(at..at, b"\r\ntransfer-encoding: chunked\r\n".iter().copied())),
        _ => drop(raw.splice(at..at, b"\r\ncontent-length: 3\r\n".iter().copied())),
    }
}

#[tokio::test]
async fn given_requests_with_drawn_faults_when_they_come_then_no_runner_gets_an_id_inside_a_body() {
    for seed in 1000..1600 {
        let mut rand = SeededRandom(seed);
        let parts = (rand.below(2) == 0).then(|| 1 + rand.below(50) as usize);
        let body = nested(300);
        let mut s = sent("outer".into(), body, parts);
        let head = s.raw.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        let mut heads: Vec<u8> = s.raw.drain(..head).collect();
        spoil(&mut rand, &mut heads);
        heads.extend(&s.raw);
        let router = open().await;
        let mut link = router.connect().await;
        let _ = link.write_all(&heads).await;
        let _ = link.shutdown().await;
        let got = read_to_end(&mut link).await;
        let heard = router.received();
        let ran: Vec<&str> = heard.iter().map(|h| h.head("x-request-id")).collect();
        let head_text = String::from_utf8_lossy(&heads[..heads.len() - s.raw.len()]).into_owned();
        let split = ends_early(&head_text) || drops_framing(&head_text);
        assert!(
            split || ran.iter().all(|id| !id.starts_with("inner")),
            "seed {seed} {head_text:?}: {ran:?} {got}"
        );
        assert!(router.runners.odd().is_empty(), "seed {seed}");
    }
}

/// Whether the fault ended the head early, so that what follows is rightly another request.
fn ends_early(head: &str) -> bool {
    head.find("\r\n\r\n").or(head.find("\n\n")).or(head.find("\n\r\n")).is_some_and(|at| at + 4 < head.len())
}

/// Whether the fault removed or changed the framing of the body.
fn drops_framing(head: &str) -> bool {
    let framed = head.to_ascii_lowercase();
    !framed.contains("\r\ncontent-length: 300\r\n") && !framed.contains("\r\ntransfer-encoding: chunked\r\n")
}

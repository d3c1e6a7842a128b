//! Answers of runners that are cut, reset or garbled at every byte: checks what the client gets and what the runners
//! received.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use spindledock::kernel::rand::{Rand, SeededRandom};
use spindledock::standin::raw::{Heard, Step};
use std::sync::Arc;
use test_router::{TestRouter, body, header, request_text, sealed_answer, status, write_text};

const MINE: &str = "the first runner's own words";

/// An answer of the first runner: its bytes, whether the close of the connection ends it, and whether it says that the
/// request was not executed.
#[derive(Clone)]
struct RunnerAnswer {
    what: &'static str,
    raw: Vec<u8>,
    unframed: bool,
    not_run: bool,
}

fn told(what: &'static str, text: String) -> RunnerAnswer {
    RunnerAnswer { what, raw: text.into_bytes(), unframed: false, not_run: false }
}

fn heads(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nx-request-id: q1\r\nx-server-seal: first\r\n")
}

fn sized() -> String {
    format!("{}content-length: {}\r\n\r\n{MINE}", heads(200), MINE.len())
}

fn chunks(end: &str) -> String {
    let (a, b) = MINE.split_at(9);
    format!("{}transfer-encoding: chunked\r\n\r\n9;x=1\r\n{a}\r\n{:x}\r\n{b}\r\n{end}", heads(200), b.len())
}

fn stream() -> String {
    let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
    let rows: String = events.iter().map(|e| format!("{:x}\r\n{e}\r\n", e.len())).collect();
    format!(
        "{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{rows}0\r\n\r\n",
        heads(200)
    )
}

fn answers() -> Vec<RunnerAnswer> {
    let not_run = "HTTP/1.1 503 X\r\nx-request-id: q1\r\nx-not-executed: 1\r\ncontent-length: 4\r\n\r\nfull";
    vec![
        told("with a length", sized()),
        told("in chunks", chunks("0\r\n\r\n")),
        told("in chunks with a trailer", chunks("0\r\nx-late: 1\r\n\r\n")),
        told("after a 100", format!("HTTP/1.1 100 Continue\r\n\r\n{}", sized())),
        told("after three 103", format!("{}{}", "HTTP/1.1 103 H\r\nlink: <a>\r\n\r\n".repeat(3), sized())),
        told("a failure", sized().replace(" 200 ", " 500 ")),
        RunnerAnswer { unframed: true, ..told("without a length", format!("{}\r\n{MINE}", heads(200))) },
        RunnerAnswer { not_run: true, ..told("turned away", not_run.into()) },
    ]
}

fn second(h: &Heard) -> Step {
    sealed_answer(h, "the second runner's")
}

/// Checks the answer that a client got for `q1` when the first runner sent `cut` bytes of `first`.
fn judge(first: &RunnerAnswer, cut: usize, reset: bool, path: &str, got: &str, heard: &[Heard]) {
    let at = format!("{} at {cut} of {}, reset {reset}, {path}: {got}", first.what, first.raw.len());
    assert!(!got.contains("HTTP/1.1 10"), "{at}");
    assert!(heard.iter().all(|h| h.head("x-request-id") == "q1" && h.line.contains(path)), "{at}");
    let may_repeat = path.starts_with("/idem") || path.starts_with("/flow");
    let turned_away = first.not_run && cut > first.raw.len() - 6;
    if !may_repeat && !turned_away {
        assert_eq!(heard.len(), 1, "{at}");
        assert!(!matches!(status(got), 408 | 421 | 429 | 503), "{at}");
    }
    if got.is_empty() {
        return;
    }
    assert!(header(got, "x-request-id").is_none_or(|id| id == "q1"), "{at}");
    match (header(got, "x-server-seal"), body(got)) {
        (None, _) => assert!(status(got) >= 500, "{at}"),
        (Some("first"), Some(text)) => {
            let said = String::from_utf8_lossy(&first.raw);
            assert_eq!(
                Some(status(got)),
                said.rsplit("HTTP/1.1 ").next().map(|t| status(&format!("x {t}"))),
                "{at}"
            );
            let cut_short = first.unframed && !reset && MINE.starts_with(&text);
            assert!(text == MINE || cut_short || text == events(), "{at}");
            assert!(cut + 2 >= first.raw.len() || cut_short || may_repeat, "complete before its end: {at}");
        }
        (Some("first"), None) => {}
        (Some(_), text) => assert!(may_repeat || turned_away, "{text:?} {at}"),
    }
}

fn events() -> String {
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n".into()
}

async fn cut(first: &RunnerAnswer, cut: usize, reset: bool, path: &str) {
    let raw = first.raw[..cut].to_vec();
    let script = Arc::new(move |n, h: &Heard| match n {
        0 if reset => vec![Step::Say(raw.clone()), Step::Reset],
        0 => vec![Step::Say(raw.clone()), Step::Close],
        _ if h.head("last-event-id").is_empty() => vec![second(h)],
        _ => vec![Step::Close],
    });
    let router = TestRouter::open(2, 2, 5, script).await;
    let got = router.get("q1", path).await;
    judge(first, cut, reset, path, &got, &router.received());
    let next = router.get("q2", "/idem/y").await;
    assert_eq!(header(&next, "x-request-id").unwrap_or("q2"), "q2", "{next}");
    assert_eq!(body(&next).as_deref(), Some("the second runner's"), "{} at {cut}: {next}", first.what);
    assert!(router.runners.odd().is_empty(), "{:?}", router.runners.odd());
}

#[tokio::test]
async fn given_an_answer_cut_at_any_byte_when_it_may_run_once_then_it_ran_once_and_nothing_false_is_told() {
    for first in answers() {
        for at in 0..=first.raw.len() {
            for reset in [false, true] {
                cut(&first, at, reset, "/once/x").await;
            }
        }
    }
}

#[tokio::test]
async fn given_an_answer_cut_at_any_byte_when_it_may_run_again_then_the_caller_gets_one_runners_whole_answer()
{
    for first in answers() {
        for at in 0..=first.raw.len() {
            for reset in [false, true] {
                cut(&first, at, reset, "/idem/x").await;
            }
        }
    }
}

#[tokio::test]
async fn given_a_stream_cut_at_any_byte_when_nobody_can_go_on_then_it_never_looks_complete() {
    let first = told("a stream", stream());
    for at in 0..=first.raw.len() {
        for (reset, path) in [(false, "/rare/x"), (true, "/rare/x"), (false, "/flow/x"), (true, "/flow/x")] {
            cut(&first, at, reset, path).await;
        }
    }
}

/// Random steps of a runner: complete answers to this request and others, interim ones, garbage and closes.
fn drawn(rand: &mut SeededRandom, h: &Heard) -> Vec<Step> {
    let id = h.head("x-request-id").to_string();
    let own = |end: &str| {
        let text = format!("own {id} by {}", h.runner);
        let n = text.len();
        format!(
            "HTTP/1.1 200 X\r\nx-request-id: {id}\r\nx-server-seal: s{}\r\n{end}content-length: {n}\r\n\r\n{text}",
            h.runner
        )
    };
    let stray = "HTTP/1.1 200 X\r\nx-request-id: other\r\nx-server-seal: s\r\ncontent-length: 5\r\n\r\nother";
    let mut out = Vec::new();
    for _ in 0..1 + rand.below(4) {
        let whole = own("");
        out.push(match rand.below(14) {
            0..=3 => write_text(whole),
            4 => write_text("HTTP/1.1 100 Continue\r\n\r\n"),
            5 => write_text("HTTP/1.1 103 X\r\nx-request-id: other\r\nx-server-seal: s\r\n\r\n"),
            6 => write_text(stray),
            7 => {
                out.push(Step::Say(whole.as_bytes()[..rand.below(whole.len() as u64) as usize].to_vec()));
                out.push(if rand.below(2) == 0 { Step::Close } else { Step::Reset });
                return out;
            }
            8 => write_text(own("content-length: 3\r\n")),
            9 => write_text(own("connection: close\r\n")),
            10 => write_text("\r\n\r\nHTTP/9 x\r\n"),
            11 => write_text(format!(
                "HTTP/1.1 503 X\r\nx-request-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            )),
            12 => Step::Reset,
            _ => Step::Close,
        });
    }
    out.push(if rand.below(2) == 0 { Step::Close } else { Step::Reset });
    if rand.below(2) == 0 {
        out.pop();
        out.push(write_text(own("")));
        out.push(Step::Close);
    }
    out
}

#[tokio::test]
async fn given_drawn_bytes_of_runners_when_many_requests_go_over_kept_connections_then_none_gets_anothers() {
    for seed in 0..150 {
        let rand = Arc::new(std::sync::Mutex::new(SeededRandom(seed)));
        let script = Arc::new(move |_, h: &Heard| drawn(&mut rand.lock().expect("a draw"), h));
        let router = TestRouter::open(4, 3, 5, script).await;
        for n in 0..12 {
            router.advance(10_000);
            let (id, path) = (format!("q{n}"), ["/once/x", "/idem/x", "/rare/x"][n % 3]);
            let got = router.exchange(request_text(&id, path, "connection: close\r\n").as_bytes()).await;
            let heard: Vec<Heard> =
                router.received().into_iter().filter(|h| h.head("x-request-id") == id).collect();
            let at = format!("seed {seed} {id} {path}: {got}");
            assert!(!got.contains("other") && !got.contains("HTTP/1.1 10"), "{at}");
            assert!(got.is_empty() || got.matches("HTTP/1.1").count() == 1, "{at}");
            if let (200, Some(text)) = (status(&got), body(&got)) {
                let by = header(&got, "x-server-seal").and_then(|s| s.strip_prefix('s')).expect("a stamp");
                assert_eq!(text, format!("own {id} by {by}"), "{at}");
            }
            assert!(heard.len() <= 3, "{at}");
        }
        assert!(router.runners.odd().is_empty(), "seed {seed}: {:?}", router.runners.odd());
    }
}

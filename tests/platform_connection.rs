//! The states of one connection to a runner, judged against a peer that acts while the router's side cannot run.

use http_body_util::Full;
use hyper::Request;
use spindledock::http::connection::{IdleConnection, ReadyConnection, SendError};
use spindledock::http::exchange::{Classified, RunnerAnswer};
use spindledock::http::pool::always_allowed;
use spindledock::protocol::ResponseOrigin;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(30);
const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine";

type Work = Box<dyn FnOnce(&mut TcpStream) + Send>;

/// A peer on a thread of its own; each piece of work is done when `then` returns.
struct Peer {
    addr: SocketAddr,
    work: Sender<Work>,
    done: Receiver<()>,
}

impl Peer {
    fn start() -> Peer {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = socket.local_addr().expect("an address");
        let (work, todo) = channel::<Work>();
        let (tell, done) = channel();
        std::thread::spawn(move || {
            let (mut tcp, _) = socket.accept().expect("a caller");
            tcp.set_read_timeout(Some(LONG)).expect("a limit");
            for work in todo {
                work(&mut tcp);
                if tell.send(()).is_err() {
                    return;
                }
            }
        });
        Peer { addr, work, done }
    }

    fn begin(&self, work: impl FnOnce(&mut TcpStream) + Send + 'static) {
        self.work.send(Box::new(work)).expect("the peer runs");
    }

    fn then(&self, work: impl FnOnce(&mut TcpStream) + Send + 'static) {
        self.begin(work);
        self.done.recv_timeout(LONG).expect("done");
    }
}

fn read_head(tcp: &mut TcpStream) {
    let mut raw = Vec::new();
    while !raw.ends_with(b"\r\n\r\n") {
        let mut byte = [0u8; 1];
        tcp.read_exact(&mut byte).expect("a head");
        raw.push(byte[0]);
    }
}

fn request(body: Vec<u8>) -> Request<Full<bytes::Bytes>> {
    Request::post("/x").header("host", "a").body(Full::new(body.into())).expect("a request")
}

async fn answered(peer: &Peer, ready: ReadyConnection, text: String, body: Vec<u8>) -> RunnerAnswer {
    peer.begin(move |tcp| {
        read_head(tcp);
        tcp.write_all(text.as_bytes()).expect("said");
    });
    let exchange = ready.send(request(body), always_allowed()).await.expect("an answer");
    peer.done.recv_timeout(LONG).expect("said");
    let Classified::Own(answer) = exchange.judge(|_, _| ResponseOrigin::Own) else { panic!("an answer") };
    answer
}

async fn rested(peer: &Peer, text: &str) -> Option<IdleConnection> {
    let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
    let mut answer = answered(peer, ready, text.to_string(), vec![]).await;
    assert!(answer.collect(1 << 20).await.is_ok());
    answer.into_idle_connection()
}

async fn settle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn given_a_clean_exchange_when_nothing_is_left_over_then_the_connection_serves_again() {
    let peer = Peer::start();
    let mut resting = rested(&peer, GOOD).await.expect("kept");
    for _ in 0..3 {
        settle().await;
        let ready = resting.into_ready(Instant::now()).expect("clean");
        assert!(ready.is_used());
        let mut answer = answered(&peer, ready, GOOD.into(), vec![7; 1000]).await;
        assert_eq!(answer.collect(100).await.expect("whole"), "mine");
        resting = answer.into_idle_connection().expect("kept");
        peer.then(|tcp| tcp.read_exact(&mut [0u8; 1000]).expect("the body"));
    }
}

#[tokio::test]
async fn given_a_byte_or_an_end_after_the_answer_when_nobody_has_read_it_yet_then_the_connection_is_left() {
    type Act = fn(&mut TcpStream);
    let after: [(&str, Act); 3] = [
        ("a byte", |tcp| tcp.write_all(b"H").expect("said")),
        ("a second answer", |tcp| tcp.write_all(GOOD.as_bytes()).expect("said")),
        ("an end", |tcp| tcp.shutdown(std::net::Shutdown::Write).expect("shut")),
    ];
    for (what, act) in after {
        let peer = Peer::start();
        let resting = rested(&peer, GOOD).await.expect("kept");
        settle().await;
        peer.then(act);
        assert!(resting.into_ready(Instant::now()).is_none(), "{what}");
    }
}

#[tokio::test]
async fn given_an_answer_that_was_not_read_to_its_end_when_it_is_done_with_then_the_connection_ends() {
    let peer = Peer::start();
    let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
    let answer = answered(&peer, ready, GOOD.into(), vec![]).await;
    assert!(answer.into_idle_connection().is_none());
    settle().await;
    peer.then(|tcp| {
        let end = tcp.read(&mut [0u8; 1]);
        assert!(end.is_ok_and(|n| n == 0), "an end");
    });
}

#[tokio::test]
async fn given_a_peer_that_names_an_end_when_its_answer_was_read_then_the_connection_is_not_kept_past_it() {
    let answer = |more: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n{more}\r\nmine");
    for more in ["connection: close\r\n", "keep-alive: timeout=0\r\n", "keep-alive: timeout=x\r\n"] {
        assert!(rested(&Peer::start(), &answer(more)).await.is_none(), "{more}");
    }
    for (ms, kept) in [(0, true), (1500, true), (1700, false), (2000, false)] {
        let peer = Peer::start();
        let resting = rested(&peer, &answer("keep-alive: timeout=2\r\n")).await.expect("kept");
        settle().await;
        let then = Instant::now() + Duration::from_millis(ms);
        assert_eq!(resting.into_ready(then).is_some(), kept, "{ms} ms");
    }
}

#[tokio::test]
async fn given_an_answer_that_came_before_the_request_was_read_when_it_is_whole_then_nothing_follows_it() {
    let peer = Peer::start();
    let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
    let mut answer = answered(&peer, ready, GOOD.into(), vec![7; 32 << 20]).await;
    assert_eq!(answer.collect(100).await.expect("whole"), "mine");
    let resting = answer.into_idle_connection().expect("the answer is whole");
    settle().await;
    assert!(resting.into_ready(Instant::now()).is_none(), "its request is not");
    settle().await;
    peer.then(|tcp| {
        let mut raw = Vec::new();
        let _ = tcp.read_to_end(&mut raw);
        assert!(raw.len() < 32 << 20 && raw.iter().all(|b| *b == 7), "only bytes of the one body");
    });
}

#[tokio::test]
async fn given_an_answer_without_a_length_when_it_ends_then_a_reset_is_no_end_and_the_connection_is_gone() {
    for reset in [false, true] {
        let peer = Peer::start();
        let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
        let mut answer = answered(&peer, ready, "HTTP/1.1 200 OK\r\n\r\nmine".into(), vec![]).await;
        assert_eq!(answer.next().await.expect("a part").expect("some"), "mine");
        peer.then(move |tcp| {
            let kind = if reset { libc::SHUT_RD } else { libc::SHUT_WR };
            assert!(kind != libc::SHUT_RD || set_linger(tcp), "linger");
            let closed = std::mem::replace(tcp, TcpStream::connect(own_listener()).expect("a spare"));
            drop(closed);
        });
        let end = answer.next().await;
        assert_eq!(end.is_err(), reset, "{end:?}");
        let kept = answer.into_idle_connection();
        settle().await;
        assert!(kept.is_none_or(|resting| resting.into_ready(Instant::now()).is_none()));
    }
}

fn own_listener() -> SocketAddr {
    let socket = Box::leak(Box::new(TcpListener::bind("127.0.0.1:0").expect("a free port")));
    socket.local_addr().expect("an address")
}

fn set_linger(tcp: &TcpStream) -> bool {
    use std::os::fd::AsRawFd;
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let size = std::mem::size_of_val(&linger) as libc::socklen_t;
    let at = (&raw const linger).cast();
    unsafe { libc::setsockopt(tcp.as_raw_fd(), libc::SOL_SOCKET, libc::SO_LINGER, at, size) == 0 }
}

#[tokio::test]
async fn given_a_check_that_fails_when_the_first_byte_is_due_then_no_byte_leaves_and_that_is_told() {
    let peer = Peer::start();
    let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
    let barred = ready.send(request(vec![]), std::sync::Arc::new(|| false)).await;
    assert_eq!(barred.err(), Some(SendError::RefusedByCheck));
    settle().await;
    peer.then(|tcp| assert!(!tcp.read(&mut [0u8; 1]).is_ok_and(|n| n > 0), "no byte"));
}

#[tokio::test]
async fn given_a_peer_that_ends_after_the_first_byte_when_no_answer_came_then_the_outcome_is_not_known() {
    let peer = Peer::start();
    let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
    peer.begin(|tcp| {
        tcp.read_exact(&mut [0u8; 1]).expect("a byte");
        tcp.shutdown(std::net::Shutdown::Both).expect("shut");
    });
    let sent = ready.send(request(vec![]), always_allowed()).await;
    assert_eq!(sent.err(), Some(SendError::MaybeSent));
}

#[tokio::test]
async fn given_an_interim_status_in_place_of_an_answer_when_it_comes_then_it_is_nobodys_answer() {
    for text in ["HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"] {
        let peer = Peer::start();
        let ready = ReadyConnection::connect(peer.addr).await.expect("a connection");
        peer.begin(move |tcp| {
            read_head(tcp);
            tcp.write_all(text.as_bytes()).expect("said");
        });
        if let Ok(exchange) = ready.send(request(vec![]), always_allowed()).await {
            assert!(matches!(exchange.judge(|_, _| ResponseOrigin::Own), Classified::Stray), "{text}");
        }
    }
}

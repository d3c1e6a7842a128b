//! Requests that have not run when a change moves their route, or alters its terms, go on by the newest routes.

mod platform_given;
#[path = "platform_moved/site.rs"]
mod site;
#[path = "platform_given/test_router.rs"]
mod test_router;

use site::{FIRST, FREE_RUNNER, FULL_RUNNER, SECOND, Site, Topic, document, head, route, to};
use std::sync::atomic::Ordering;
use test_router::{LONG, body, header, read_answer, status};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ONCE: &str = "\"non_idempotent\"";
const IDEMPOTENT: &str = "\"idempotent\"";
const STREAM: &str = "\"streaming\",\"TargetGapMs\":300";
const RESUMABLE: &str = "\"streaming\",\"Resumable\":true,\"TargetGapMs\":300";
const REQUESTS: usize = 4;
const ROUTES_FIRST: [Topic; 2] = [Topic::Routes, Topic::Services];
const SERVICES_FIRST: [Topic; 2] = [Topic::Services, Topic::Routes];

/// Where a request is when the change comes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Place {
    /// Its body is still on the way.
    Body,
    /// It waits for a runner.
    Queue,
    /// A runner has turned it away, and it waits for another one.
    Rejected,
}

/// A change of the route of kind `from`: the new routes, the services that are left, and the one that serves then.
struct Change {
    what: &'static str,
    from: &'static str,
    routes: Vec<String>,
    services: &'static [&'static str],
    serves: &'static str,
}

fn changes() -> Vec<Change> {
    let both: &[&str] = &[FIRST, SECOND];
    let split = format!(
        r#""WeightedBackends":[{{"Backend":"{FIRST}","Weight":0}},{{"Backend":"{SECOND}","Weight":3}}]"#
    );
    let moved = |what, from, routes| Change { what, from, routes, services: both, serves: SECOND };
    vec![
        moved("moved", ONCE, vec![route("/a/", ONCE, &to(SECOND))]),
        moved("moved", IDEMPOTENT, vec![route("/a/", IDEMPOTENT, &to(SECOND))]),
        moved("moved", RESUMABLE, vec![route("/a/", RESUMABLE, &to(SECOND))]),
        moved("split", ONCE, vec![route("/a/", ONCE, &split)]),
        moved(
            "a longer prefix comes",
            STREAM,
            vec![route("/a/", STREAM, &to(FIRST)), route("/a/x/", STREAM, &to(SECOND))],
        ),
        moved("a shorter prefix is left", ONCE, vec![route("/", ONCE, &to(SECOND))]),
        moved("moved, of another kind", ONCE, vec![route("/a/", STREAM, &to(SECOND))]),
        Change {
            services: &[SECOND],
            ..moved("moved and its service withdrawn", STREAM, vec![route("/a/", STREAM, &to(SECOND))])
        },
        Change { serves: FIRST, ..moved("resumable", STREAM, vec![route("/a/", RESUMABLE, &to(FIRST))]) },
        Change { serves: FIRST, ..moved("not resumable", RESUMABLE, vec![route("/a/", STREAM, &to(FIRST))]) },
        Change {
            serves: FIRST,
            ..moved("of another kind", IDEMPOTENT, vec![route("/a/", ONCE, &to(FIRST))])
        },
    ]
}

/// Sends the requests and returns their connections once all are at `place`.
async fn send_until(site: &Site, place: Place) -> Vec<TcpStream> {
    let mut links = Vec::new();
    for number in 0..REQUESTS {
        let mut link = site.router.connect().await;
        link.write_all((head(number, 4) + "bo").as_bytes()).await.expect("an open link");
        if place != Place::Body {
            link.write_all(b"dy").await.expect("an open link");
        }
        links.push(link);
    }
    match place {
        Place::Queue | Place::Rejected => site.until_waiting(FIRST, REQUESTS).await,
        Place::Body => {
            let open = &site.router.front.open_requests;
            let all = async {
                while open.load(Ordering::SeqCst) < REQUESTS as u64 {
                    tokio::task::yield_now().await;
                }
            };
            tokio::time::timeout(LONG, all).await.expect("heads that have come");
        }
    }
    links
}

async fn play(place: Place, change: &Change, order: [Topic; 2]) {
    let mut site = Site::start().await;
    let at_first: &[(&str, usize)] = if place == Place::Rejected { &[(FIRST, FULL_RUNNER)] } else { &[] };
    site.configure(
        &document(&[route("/a/", change.from, &to(FIRST))], &[FIRST, SECOND], ""),
        at_first,
        order,
    );
    site.save_retries(2 * REQUESTS as u64);
    let mut links = send_until(&site, place).await;
    let then = document(&change.routes, change.services, "");
    site.configure(&then, &[(change.serves, FREE_RUNNER)], order);
    if place == Place::Body {
        for link in &mut links {
            link.write_all(b"dy").await.expect("an open link");
        }
    }
    for (number, link) in links.iter_mut().enumerate() {
        let got = read_answer(link).await;
        let case = format!("{place:?}, {order:?}, {}: {got}", change.what);
        assert_eq!((status(&got), header(&got, "x-server-seal")), (200, Some("3e1b")), "{case}");
        assert_eq!(body(&got).as_deref(), Some("whole"), "{case}");
        let heard = site.router.received();
        let own = heard.iter().filter(|h| h.head("x-request-id") == format!("q{number}"));
        let ran: Vec<_> = own.filter(|h| h.runner == FREE_RUNNER).collect();
        assert_eq!(ran.len(), 1, "{case}");
        assert_eq!((&*ran[0].line, &*ran[0].body), (&*format!("POST /a/x/{number} HTTP/1.1"), &b"body"[..]));
    }
}

// Guards against DENIED: requests that waited while their route moved to another service, or changed its terms, got 404.
#[tokio::test]
async fn given_requests_that_have_not_run_when_their_route_changes_then_each_is_served_by_the_new_routes() {
    for place in [Place::Body, Place::Queue, Place::Rejected] {
        for change in &changes() {
            for order in [ROUTES_FIRST, SERVICES_FIRST] {
                play(place, change, order).await;
            }
        }
    }
}

// Guards against DENIED: a router whose fleet had no configuration yet answered 404 to everything.
#[tokio::test]
async fn given_a_fleet_without_a_configuration_when_asked_then_the_answer_is_503_until_there_is_one() {
    let mut site = Site::start().await;
    let first = document(&[route("/a/", ONCE, &to(FIRST))], &[FIRST], "");
    site.take(r#"{"Revision":0,"RouteMap":[],"Backends":[]}"#, &[], Topic::Routes);
    let got = site.router.get("q1", "/a/x").await;
    assert_eq!(status(&got), 503, "{got}");
    assert!(header(&got, "retry-after").is_some(), "{got}");
    site.configure(&first, &[(FIRST, FREE_RUNNER)], ROUTES_FIRST);
    let got = site.router.get("q2", "/a/x").await;
    assert_eq!(status(&got), 200, "{got}");
    let got = site.router.get("q3", "/b/x").await;
    assert_eq!(status(&got), 404, "a route that the configuration lacks: {got}");
    assert_eq!(site.router.front.unknown_routes.load(Ordering::SeqCst), 1);
}

// Guards against a route that is gone being served all the same.
#[tokio::test]
async fn given_requests_that_wait_when_their_route_is_dropped_then_they_get_404_and_none_runs() {
    for place in [Place::Body, Place::Queue, Place::Rejected] {
        let mut site = Site::start().await;
        let at_first: &[(&str, usize)] = if place == Place::Rejected { &[(FIRST, FULL_RUNNER)] } else { &[] };
        site.configure(&document(&[route("/a/", ONCE, &to(FIRST))], &[FIRST], ""), at_first, ROUTES_FIRST);
        site.save_retries(REQUESTS as u64);
        let mut links = send_until(&site, place).await;
        site.configure(
            &document(&[route("/b/", ONCE, &to(FIRST))], &[FIRST], ""),
            &[(FIRST, FREE_RUNNER)],
            ROUTES_FIRST,
        );
        for link in &mut links {
            let _ = link.write_all(if place == Place::Body { b"dy" } else { b"" }).await;
            let got = read_answer(link).await;
            assert_eq!((status(&got), header(&got, "retry-after")), (404, None), "{place:?}");
        }
        assert_eq!(site.count(FIRST, "refused_route_changed"), REQUESTS as u64, "{place:?}");
        assert!(site.router.received().iter().all(|heard| heard.runner == FULL_RUNNER), "{place:?}");
    }
}

//! API keys: which requests a router admits for which tenant, and what runners are told of it.

mod platform_given;
#[path = "platform_given/test_router.rs"]
mod test_router;

use spindledock::standin::raw::{Script, Step};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use test_router::{TestRouter, body, config, header, read_answer, request_text, sealed_answer, status};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// The configuration of the test router with these tenants.
fn with_tenants(tenants: &str) -> String {
    let plain = config(3);
    let plain = plain.strip_suffix('}').expect("an object");
    format!(r#"{plain},"Tenants":[{tenants}]}}"#)
}

fn tenant(name: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(r#"{{"Name":"{name}","ApiKeys":[{}]}}"#, keys.join(","))
}

fn complete_answers() -> Script {
    Arc::new(|_, h| vec![sealed_answer(h, "whole")])
}

async fn router_with_tenants(tenants: &str, script: Script) -> TestRouter {
    let mut router = TestRouter::open(2, 3, 5, script).await;
    router.reconfigure(with_tenants(tenants));
    router
}

async fn ask(router: &TestRouter, path: &str, heads: &str) -> String {
    router.exchange(request_text("q1", path, &format!("connection: close\r\n{heads}")).as_bytes()).await
}

/// Sends a request on a connection that stays open.
async fn next(link: &mut tokio::net::TcpStream, heads: &str) -> String {
    link.write_all(request_text("q1", "/idem/x", heads).as_bytes()).await.expect("an open link");
    read_answer(link).await
}

#[tokio::test]
async fn given_tenants_when_a_request_has_no_known_key_then_it_gets_401_and_reaches_no_runner() {
    let router = router_with_tenants(&tenant("huka", &["k-1"]), complete_answers()).await;
    for heads in ["", "api-key: \r\n", "api-key: k-2\r\n", "api-key: K-1\r\n", "x-tenant: huka\r\n"] {
        for path in ["/idem/x", "/once/x", "/flow/x"] {
            let got = ask(&router, path, heads).await;
            assert_eq!(status(&got), 401, "{heads}: {got}");
            assert!(!got.contains("k-1") && !got.contains("k-2"), "{got}");
            assert!(body(&got).expect("whole").contains("unknown-key"), "{got}");
        }
    }
    assert!(router.received().is_empty());
}

#[tokio::test]
async fn given_an_unknown_key_when_the_body_is_not_in_yet_then_the_answer_comes_before_it() {
    let router = router_with_tenants(&tenant("huka", &["k-1"]), complete_answers()).await;
    let mut link = router.connect().await;
    let head = "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: q1\r\ncontent-length: 9\r\n\r\n";
    link.write_all(head.as_bytes()).await.expect("an open link");
    assert_eq!(status(&read_answer(&mut link).await), 401);
}

#[tokio::test]
async fn given_a_known_key_when_a_request_is_sent_on_then_the_runner_hears_its_tenant_and_no_key() {
    let tenants = [tenant("huka", &["k-1", "k-2"]), tenant("law firm 3", &["k-3"])].join(",");
    let router = router_with_tenants(&tenants, complete_answers()).await;
    let claims = ["", "x-tenant: other\r\n", "X-Tenant: a\r\nX-TENANT: b\r\n", "connection: x-tenant\r\n"];
    for (key, owner) in [("k-1", "huka"), ("k-2", "huka"), ("k-3", "law firm 3")] {
        for claim in claims {
            let before = router.received().len();
            let got = ask(&router, "/idem/x", &format!("api-key: {key}\r\n{claim}")).await;
            assert_eq!(status(&got), 200, "{got}");
            let heard = &router.received()[before..];
            let told: Vec<&str> = heard[0]
                .heads
                .iter()
                .filter(|h| h.0.eq_ignore_ascii_case("x-tenant"))
                .map(|h| &*h.1)
                .collect();
            assert_eq!((heard.len(), told), (1, vec![owner]), "{key} {claim}");
            assert!(!format!("{heard:?}").contains(key), "{heard:?}");
        }
    }
}

#[tokio::test]
async fn given_no_tenants_when_a_request_is_sent_on_then_it_needs_no_key_and_neither_key_nor_tenant_is_told()
{
    let router = TestRouter::open(1, 3, 5, complete_answers()).await;
    let got = ask(&router, "/idem/x", "api-key: k-1\r\nx-tenant: huka\r\n").await;
    let heard = router.received();
    assert_eq!((status(&got), heard.len()), (200, 1), "{got}");
    assert_eq!((heard[0].head("api-key"), heard[0].head("x-tenant")), ("", ""));
}

#[tokio::test]
async fn given_a_route_that_needs_no_key_when_asked_then_only_a_known_key_tells_a_tenant() {
    let mut router = router_with_tenants("", complete_answers()).await;
    let open =
        with_tenants(&tenant("huka", &["k-1"])).replace("\"RouteType\"", "\"NoAuth\":true,\"RouteType\"");
    router.reconfigure(open);
    for (heads, told) in [("x-tenant: huka\r\n", ""), ("api-key: k-2\r\n", ""), ("api-key: k-1\r\n", "huka")]
    {
        let got = ask(&router, "/idem/x", heads).await;
        assert_eq!(status(&got), 200, "{heads}: {got}");
        let heard = router.received();
        let last = heard.last().expect("a request");
        assert_eq!((last.head("x-tenant"), last.head("api-key")), (told, ""), "{heads}");
    }
}

#[tokio::test]
async fn given_routes_that_are_not_fresh_when_a_key_is_unknown_then_the_answer_is_503_and_not_401() {
    let router = router_with_tenants(&tenant("huka", &["k-1"]), complete_answers()).await;
    router.clock.advance_without_proof(60_000);
    for heads in ["", "api-key: k-2\r\n", "api-key: k-1\r\n"] {
        let got = ask(&router, "/idem/x", heads).await;
        assert!(status(&got) == 503 && header(&got, "retry-after").is_some(), "{got}");
    }
    assert!(router.received().is_empty());
}

#[tokio::test]
async fn given_a_live_connection_when_its_key_is_taken_away_added_or_passed_on_then_the_next_request_knows() {
    let mut router = router_with_tenants(&tenant("huka", &["k-1"]), complete_answers()).await;
    let mut link = router.connect().await;
    let steps = [
        (tenant("huka", &["k-1"]), 200, "huka"),
        (tenant("huka", &[]), 401, ""),
        (tenant("huka", &["k-1", "k-2"]), 200, "huka"),
        ([tenant("huka", &["k-2"]), tenant("late", &["k-1"])].join(","), 200, "late"),
        (tenant("renamed", &["k-1"]), 200, "renamed"),
        (tenant("other", &["k-3"]), 401, ""),
    ];
    for (n, (tenants, want, owner)) in steps.into_iter().enumerate() {
        router.reconfigure(with_tenants(&tenants));
        let before = router.received().len();
        let got = next(&mut link, "api-key: k-1\r\n").await;
        assert_eq!(status(&got), want, "step {n}: {got}");
        let told: Vec<String> =
            router.received()[before..].iter().map(|h| h.head("x-tenant").to_string()).collect();
        let wanted: Vec<String> = (want == 200).then(|| owner.to_string()).into_iter().collect();
        assert_eq!(told, wanted, "step {n}");
    }
}

#[tokio::test]
async fn given_a_run_that_breaks_off_when_its_key_was_taken_away_or_passed_on_then_it_is_not_sent_again() {
    let after = [
        tenant("huka", &["k-2"]),
        [tenant("huka", &["k-2"]), tenant("late", &["k-1"])].join(","),
        tenant("renamed", &["k-1"]),
    ];
    for tenants in after {
        let broken = Arc::new(Notify::new());
        let waits_for = broken.clone();
        let script: Script = Arc::new(move |n, h| match n {
            0 => vec![Step::Wait(waits_for.clone()), Step::Close],
            _ => vec![sealed_answer(h, "whole")],
        });
        let mut router = router_with_tenants(&tenant("huka", &["k-1"]), script).await;
        let mut link = router.connect().await;
        link.write_all(request_text("q1", "/idem/x", "api-key: k-1\r\n").as_bytes())
            .await
            .expect("an open link");
        router.runners.until(1).await;
        router.reconfigure(with_tenants(&tenants));
        broken.notify_one();
        let got = read_answer(&mut link).await;
        assert_eq!((status(&got), router.received().len()), (502, 1), "{tenants}: {got}");
    }
}

#[tokio::test]
async fn given_an_unknown_key_when_refused_then_the_router_counts_it() {
    let router = router_with_tenants(&tenant("huka", &["k-1"]), complete_answers()).await;
    ask(&router, "/idem/x", "api-key: k-2\r\n").await;
    let gate = router.front.table.get(&"s".into()).expect("a gate");
    let counts = gate.lock().expect("a gate").counters.clone();
    assert_eq!(counts.get("refused_unknown_key"), Some(&1), "{counts:?}");
    assert_eq!(router.front.open_requests.load(Ordering::SeqCst), 0);
}

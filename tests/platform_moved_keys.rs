//! Requests whose key, tenant or kind of service a change alters before they have run.

mod platform_given;
#[path = "platform_moved/site.rs"]
mod site;
#[path = "platform_given/test_router.rs"]
mod test_router;

use site::{FIRST, FREE_RUNNER, SECOND, Site, Topic, document, head, route, to};
use test_router::{read_answer, status};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ONCE: &str = "\"non_idempotent\"";
const ROUTES_FIRST: [Topic; 2] = [Topic::Routes, Topic::Services];

/// A configuration whose one route leads to `service`, with these tenants.
fn with_tenants(service: &str, tenants: &str) -> String {
    let more = format!(r#","Tenants":[{tenants}]"#);
    document(&[route("/a/", ONCE, &to(service))], &[FIRST, SECOND], &more)
}

/// Sends one request with the key `k-1` and returns its connection once it waits for a runner of `FIRST`.
async fn send_with_key(site: &Site) -> TcpStream {
    let mut link = site.router.connect().await;
    let request = head(0, 4).replace("\r\n\r\n", "\r\napi-key: k-1\r\n\r\nbody");
    link.write_all(request.as_bytes()).await.expect("an open link");
    site.until_waiting(FIRST, 1).await;
    link
}

// Guards against DENIED: a request that came while no key was needed got 401 once its key belonged to a tenant.
#[tokio::test]
async fn given_a_request_that_waits_when_its_key_becomes_known_and_needed_then_it_is_served_under_its_tenant()
{
    for service in [FIRST, SECOND] {
        let mut site = Site::start().await;
        site.configure(&with_tenants(FIRST, ""), &[], ROUTES_FIRST);
        let mut link = send_with_key(&site).await;
        let tenants = with_tenants(service, r#"{"Name":"huka","ApiKeys":["k-1"]}"#);
        site.configure(&tenants, &[(service, FREE_RUNNER)], ROUTES_FIRST);
        let got = read_answer(&mut link).await;
        assert_eq!(status(&got), 200, "{service}: {got}");
        let heard = site.router.received();
        assert_eq!((heard.len(), heard[0].head("x-tenant")), (1, "huka"), "{service}");
    }
}

// Guards against a quota that counts a request again each time it is admitted anew.
#[tokio::test]
async fn given_a_request_of_a_tenant_with_a_quota_when_its_route_moves_twice_then_the_quota_counts_it_once() {
    let tenant = r#"{"Name":"huka","ApiKeys":["k-1"],"RatePerS":1,"Burst":9}"#;
    let mut site = Site::start().await;
    site.configure(&with_tenants(FIRST, tenant), &[], ROUTES_FIRST);
    site.grant("huka", 3);
    let mut link = send_with_key(&site).await;
    assert_eq!(site.tokens_left(), 2);
    site.configure(&with_tenants(SECOND, tenant), &[], ROUTES_FIRST);
    site.until_waiting(SECOND, 1).await;
    site.configure(&with_tenants(FIRST, tenant), &[(FIRST, FREE_RUNNER)], ROUTES_FIRST);
    let got = read_answer(&mut link).await;
    assert_eq!((status(&got), site.tokens_left()), (200, 2), "{got}");
}

// Guards against DENIED: a request that was read for a plain service got 404 unknown-model once it had become one of models.
#[tokio::test]
async fn given_a_request_that_waits_when_its_service_becomes_one_of_models_then_its_model_is_read_and_served()
{
    let mut site = Site::start_native().await;
    let plain = document(&[route("/a/", ONCE, &to(FIRST))], &[FIRST], "");
    site.configure(&plain, &[], ROUTES_FIRST);
    let mut link = site.router.connect().await;
    let body = r#"{"model":"m1"}"#;
    link.write_all((head(0, body.len()) + body).as_bytes()).await.expect("an open link");
    site.until_waiting(FIRST, 1).await;
    let engine = r#"{"CapacitySlots":8,"KvCapacity":9,"KvTokenBytes":1,"LinkMbps":1,"Stride":1,"WeightsMb":9,
        "AdapterCapacity":1,"LoadRateS":1,"Models":[{"Name":"m1","WeightsMb":1,"LoadTimeS":1,"Adapters":0,"AdapterSizeMb":1}]}"#;
    let named = format!(r#"{{"Name":"{FIRST}"}}"#);
    let of_models = plain.replace(&named, &format!(r#"{{"Name":"{FIRST}","Engine":{engine}}}"#));
    site.configure(&of_models, &[(FIRST, FREE_RUNNER)], ROUTES_FIRST);
    site.report_holding(FIRST, FREE_RUNNER, "m1");
    let got = read_answer(&mut link).await;
    assert_eq!(status(&got), 200, "{got}");
}

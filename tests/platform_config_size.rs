//! How large a configuration may be: the largest is read, a larger one is refused before it is worked on.

mod platform_given;

use platform_given::{assert_faults_complete, read_document};
use spindledock::fleet::size_limits::{MAX_CONFIG_SIZE, MAX_NAME_BYTES};

fn repeated(count: usize, item: impl Fn(usize) -> String) -> String {
    (0..count).map(item).collect::<Vec<_>>().join(",")
}

fn document(routes: &str, services: &str, tenants: &str) -> String {
    format!(r#"{{"Revision":1,"RouteMap":[{routes}],"Backends":[{services}],"Tenants":[{tenants}]}}"#)
}

fn services(count: usize) -> String {
    repeated(count, |n| format!(r#"{{"Name":"s{n}"}}"#))
}

fn routes(count: usize) -> String {
    repeated(count, |n| {
        format!(r#"{{"Name":"r{n}","Vhost":"h","PathPrefix":"/{n}/","TimeoutMs":1,"Backend":"s0"}}"#)
    })
}

fn models(count: usize, adapters: usize) -> String {
    let models = repeated(count, |n| format!(r#"{{"Name":"m{n}","Adapters":{adapters}}}"#));
    format!(r#"{{"Name":"s0","Engine":{{"Models":[{models}]}}}}"#)
}

fn tenants(count: usize) -> String {
    repeated(count, |n| format!(r#"{{"Name":"t{n}"}}"#))
}

fn taken(text: &str) {
    let read = read_document(text).map(|config| config.revision);
    assert_eq!(read, Ok(1));
}

fn refused(text: &str, what: &str) {
    let faults = read_document(text).expect_err(what);
    assert_faults_complete(&faults);
    assert!(faults.iter().any(|fault| fault.what.contains(what)), "{what}: {faults:?}");
}

#[test]
fn given_as_many_items_as_allowed_when_read_then_taken_and_with_one_more_refused() {
    let max = MAX_CONFIG_SIZE;
    taken(&document("", &services(max.services), ""));
    refused(&document("", &services(max.services + 1), ""), "services");
    taken(&document(&routes(max.routes), &services(1), ""));
    refused(&document(&routes(max.routes + 1), &services(1), ""), "routes");
    taken(&document("", &models(max.models, 0), ""));
    refused(&document("", &models(max.models + 1, 0), ""), "models");
    taken(&document("", &models(max.adapters / 10_000, 10_000), ""));
    refused(&document("", &models(max.adapters / 10_000 + 1, 10_000), ""), "adapters");
    taken(&document("", &services(1), &tenants(max.tenants)));
    refused(&document("", &services(1), &tenants(max.tenants + 1)), "tenants");
}

#[test]
fn given_numbers_of_adapters_that_overflow_when_read_then_refused() {
    for adapters in ["1e300", "9007199254740991"] {
        let service = models(3, 7).replace(r#""Adapters":7"#, &format!(r#""Adapters":{adapters}"#));
        refused(&document("", &service, ""), "adapters");
    }
}

#[test]
fn given_a_document_as_long_as_allowed_when_read_then_taken_and_with_one_more_byte_refused() {
    let text = document("", &services(1), "");
    let whole = text.clone() + &" ".repeat(MAX_CONFIG_SIZE.bytes - text.len());
    taken(&whole);
    refused(&(whole + " "), "bytes");
}

#[test]
fn given_names_as_long_as_allowed_when_read_then_taken_and_longer_ones_refused() {
    let named = |bytes| {
        let name = "n".repeat(bytes);
        let service = format!(r#"{{"Name":"{name}","Engine":{{"Models":[{{"Name":"m{}"}}]}}}}"#, &name[1..]);
        document("", &service, "")
    };
    taken(&named(MAX_NAME_BYTES));
    refused(&named(MAX_NAME_BYTES + 1), "long");
}

#[test]
fn given_a_fault_that_quotes_the_document_when_told_then_its_text_is_short() {
    let route = r#"{"Name":"r","Vhost":"h","PathPrefix":"/","TimeoutMs":1,"Backend":"B"}"#;
    let faults = read_document(&document(&route.replace('B', &"ü".repeat(1 << 20)), &services(1), ""));
    let faults = faults.expect_err("an unknown service");
    assert!(faults.iter().all(|fault| fault.to_string().len() < 4096), "the document is quoted whole");
}

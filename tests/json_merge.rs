//! Partial changes of JSON documents.

use spindledock::fleet::read::read as read_fleet;
use spindledock::json::Tree;

// Guards against: a partial change with an empty list of keys does not remove a tenant's keys.
#[test]
fn given_a_partial_change_with_an_empty_list_of_keys_when_merged_then_the_tenant_has_none_left() {
    let read = |text: &str| Tree::parse(text).expect("JSON");
    let mut whole = read(r#"{"tenants":[{"name":"one","keys":["k-1"]},{"name":"two","keys":["k-2"]}]}"#);
    whole.merge(read(r#"{"tenants":[{"name":"one","keys":[]}]}"#));
    let config = read_fleet(&whole).expect("good");
    let keys: Vec<usize> = config.tenants.iter().map(|tenant| tenant.keys.len()).collect();
    assert_eq!(keys, [0, 1]);
}

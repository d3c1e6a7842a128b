//! The list with an index by name: lookups after any change of the list, and an encoding equal to that of a
//! plain list.

use spindledock::fleet::config::Model;
use spindledock::fleet::named::NamedList;
use spindledock::kernel::ids::Name;

fn model(name: &str, weight_mb: u64) -> Model {
    Model { name: Name::from(name), weight_mb, load_ms: 1 }
}

fn weight(list: &NamedList<Model>, name: &str) -> Option<u64> {
    list.named(&Name::from(name)).map(|m| m.weight_mb)
}

#[test]
fn given_rows_in_any_order_when_one_is_looked_up_then_the_first_of_its_name_comes() {
    let mut list: NamedList<Model> = vec![model("c", 1), model("a", 2), model("b", 3), model("a", 4)].into();
    assert_eq!((weight(&list, "a"), weight(&list, "c")), (Some(2), Some(1)));
    assert_eq!((weight(&list, ""), weight(&list, "bb"), weight(&list, "d")), (None, None, None));
    list.push(model("bb", 5));
    list[0].name = Name::from("z");
    assert_eq!((weight(&list, "bb"), weight(&list, "c"), weight(&list, "z")), (Some(5), None, Some(1)));
    list.clear();
    assert_eq!(weight(&list, "a"), None);
}

#[test]
fn given_a_list_when_it_is_encoded_then_it_is_a_plain_list_and_comes_back_the_same() {
    let rows = vec![model("b", 1), model("a", 2)];
    let list: NamedList<Model> = rows.clone().into();
    let raw = bitcode::encode(&list);
    assert_eq!(raw, bitcode::encode(&rows), "files written before it are still read");
    let back: NamedList<Model> = bitcode::decode(&raw).expect("sound");
    assert_eq!((back == list, weight(&back, "a")), (true, Some(2)));
}

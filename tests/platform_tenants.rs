mod platform_given;

use platform_given::{part, sound, whole};
use spindledock::chain::operator_reads;
use spindledock::fleet::FleetConfig;
use spindledock::fleet::tenants::{KeyDigest, QuotaLimit, Tenants};
use spindledock::json::Tree;
use spindledock::kernel::component::Views;

const KEY: &str = "qf75rjvz48wuakn2ftim";
const OTHER_KEY: &str = "aj3nr26tta828m82thhk";

/// A whole document with these tenants, as JSON.
fn document(tenants: &str) -> String {
    format!(
        r#"{{"Revision":7,"RouteMap":[{{"Name":"r","Vhost":"a.example","PathPrefix":"/r/","TimeoutMs":900,
        "Backend":"s","NoAuth":true}}],"Backends":[{{"Name":"s"}}],"Tenants":{tenants}}}"#
    )
}

fn two() -> FleetConfig {
    let tenants = format!(
        r#"[{{"Name":"huka","ApiKeys":["{KEY}"],"Priority":2,"RatePerS":0.5,"Burst":3,"New":[0.1]}},
        {{"Name":"law firm 3","ApiKeys":["{OTHER_KEY}"]}}]"#
    );
    whole(&document(&tenants)).expect("a good document")
}

fn owner(config: &FleetConfig, key: &str) -> Option<String> {
    let tenants = Tenants::from(config.tenants.to_vec());
    let owner = tenants.owner(&KeyDigest::of(key.as_bytes()))?;
    Some(owner.name.0.clone())
}

#[test]
fn given_tenants_when_read_then_keys_priorities_and_quotas_are_their_own() {
    let config = two();
    assert_eq!(owner(&config, KEY).as_deref(), Some("huka"));
    assert_eq!(owner(&config, OTHER_KEY).as_deref(), Some("law firm 3"));
    assert_eq!(owner(&config, "unknown"), None);
    let (first, second) = (&config.tenants[0], &config.tenants[1]);
    assert_eq!((first.priority, first.quota), (Some(2), Some(QuotaLimit { rate_milli: 500, burst: 3 })));
    assert_eq!((second.priority, second.quota), (None, None));
    assert!(config.services[0].routes[0].open);
}

#[test]
fn given_a_rate_of_zero_or_a_burst_alone_when_read_then_there_is_no_limit() {
    for figures in [r#""RatePerS":0,"Burst":5"#, r#""Burst":5"#, r#""RatePerS":null"#] {
        let text = document(&format!(r#"[{{"Name":"t","ApiKeys":["k"],{figures}}}]"#));
        assert_eq!(whole(&text).expect(figures).tenants[0].quota, None, "{figures}");
    }
}

#[test]
fn given_malformed_tenants_when_read_then_each_is_refused_by_its_place_and_no_key_is_told() {
    let cases = [
        (r#"{"Name":"t"}"#, "Tenants"),
        (r#"[{"ApiKeys":["KEY"]}]"#, "Tenants[0]"),
        (r#"[{"Name":"","ApiKeys":["KEY"]}]"#, "Tenants[0]"),
        (r#"[{"Name":"a\nb","ApiKeys":["KEY"]}]"#, "Tenants[0]"),
        (r#"[{"Name":7,"ApiKeys":["KEY"]}]"#, "Tenants[0]"),
        (r#"[{"Name":"t","ApiKeys":"KEY"}]"#, "Tenants[0]"),
        (r#"[{"Name":"t","ApiKeys":["KEY",7]}]"#, "Tenants[0]"),
        (r#"[{"Name":"t","ApiKeys":["KEY",""]}]"#, "Tenants[0]"),
        (r#"[{"Name":"t"},{"Name":"u","ApiKeys":["KEY"],"RatePerS":-1}]"#, "Tenants[1].RatePerS"),
        (r#"[{"Name":"t","ApiKeys":["KEY"],"RatePerS":1e300}]"#, "Tenants[0].RatePerS"),
        (r#"[{"Name":"t","ApiKeys":["KEY"],"RatePerS":"KEY"}]"#, "Tenants[0].RatePerS"),
        (r#"[{"Name":"t","ApiKeys":["KEY"],"Burst":-0.5}]"#, "Tenants[0].Burst"),
        (r#"[{"Name":"t","ApiKeys":["KEY"],"Priority":-1}]"#, "Tenants[0].Priority"),
        (r#"[{"Name":"t","ApiKeys":["KEY"]},{"Name":"t"}]"#, "Tenants[1]"),
        (r#"[{"Name":"t","ApiKeys":["KEY"]},{"Name":"u","ApiKeys":["x","KEY"]}]"#, "Tenants[1]"),
    ];
    for (tenants, place) in cases {
        let faults = whole(&document(&tenants.replace("KEY", KEY))).expect_err(tenants);
        sound(&faults);
        assert!(faults.iter().any(|fault| fault.place == place), "{tenants}: {faults:?}");
        assert!(!format!("{faults:?}").contains(KEY), "{tenants}: {faults:?}");
    }
}

#[test]
fn given_a_change_of_tenants_when_read_back_then_it_holds_them_as_they_were_sent() {
    let add = r#"{"Revision":9,"Upsert":{"Tenants":[{"Name":"huka","ApiKeys":["new-1"],"Burst":1e-05},
        {"Name":"late","ApiKeys":["new-2"]}]}}"#;
    let config = part(&two(), add).expect("good");
    let source = Tree::parse(&config.source).expect("JSON");
    let names: Vec<&str> = source.list("Tenants").iter().filter_map(|t| t.text("Name")).collect();
    assert_eq!(names, ["huka", "law firm 3", "late"]);
    assert_eq!(source.list("Tenants")[0].float("Burst"), Some(1e-5));
    assert!(config.source.contains(OTHER_KEY));
    assert!(source.list("Tenants")[0].get("New").is_none(), "an item is replaced whole");
    assert_eq!(owner(&config, KEY), None);
    assert_eq!(owner(&config, "new-2").as_deref(), Some("late"));
    let config = part(&config, r#"{"Revision":12,"Withdraw":{"Tenants":["huka"]}}"#).expect("good");
    assert_eq!((owner(&config, "new-1"), config.tenants.len()), (None, 2));
}

#[test]
fn given_a_change_that_passes_a_key_on_without_taking_it_away_when_read_then_it_is_refused() {
    let share = format!(r#"{{"Revision":9,"Upsert":{{"Tenants":[{{"Name":"late","ApiKeys":["{KEY}"]}}]}}}}"#);
    sound(&part(&two(), &share).expect_err("a shared key"));
    let pass_on = format!(
        r#"{{"Revision":9,"Upsert":{{"Tenants":[{{"Name":"late","ApiKeys":["{KEY}"]}},{{"Name":"huka","ApiKeys":[]}}]}}}}"#
    );
    let config = part(&two(), &pass_on).expect("good");
    assert_eq!(owner(&config, KEY).as_deref(), Some("late"));
}

#[test]
fn given_a_configuration_with_keys_when_anything_of_the_fleet_is_asked_then_no_key_is_in_it() {
    let mut views = Views::default();
    views.state.config = two();
    assert!(views.state.config.source.contains(KEY));
    let questions = ["config", "status", "plan", "history", "runners", "nodes"].map(String::from);
    let tables = spindledock::query::tables::NAMES.map(|name| format!("query/SELECT * FROM {name}"));
    for question in questions.iter().chain(&tables) {
        let answer = operator_reads::answer(question, &views);
        assert_eq!(answer.status, 200, "{question}: {}", answer.body);
        assert!(
            !answer.body.contains(KEY) && !answer.body.contains(OTHER_KEY),
            "{question}: {}",
            answer.body
        );
    }
    let config = operator_reads::answer("config", &views).body;
    assert!(config.contains("huka") && config.contains(&KeyDigest::of(KEY.as_bytes()).to_hex()), "{config}");
    assert!(!format!("{:?}", views.state.config.tenants).contains(KEY));
}

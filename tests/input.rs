//! Malformed input of every kind is refused with a place and a remedy: configurations, settings, log files,
//! frames and arbitrary bytes.

use spindledock::daemon::config::read as read_node;
use spindledock::fleet::read::read_text;
use spindledock::json::Tree;
use spindledock::kernel::disk::{Disk, LogFile};
use spindledock::kernel::fault::Kind;
use spindledock::kernel::ids::*;
use spindledock::kernel::log_format;
use spindledock::launch::deployment::{quebec, vanua};
use spindledock::msg::{Record, Role};
use spindledock::transfer::event_buffer::EventSplitter;
use spindledock::wire;
use std::path::PathBuf;

fn places(text: &str) -> Vec<String> {
    read_text(text).expect_err("it has faults").into_iter().map(|f| f.place).collect()
}

#[test]
fn given_a_configuration_with_many_faults_when_read_then_each_is_named_with_its_remedy() {
    let text = r#"{"stor":{}, "store":{"loads_per_minute":999999,"burst":4,"x":1},
        "models":[{"name":"a","weight_mb":0},{"name":"a","weight_mb":5,"weight_mb":6}],
        "adapters":[{"name":"l","model":"none","weight_mb":1}],
        "services":[{"name":"s","sort":"assistant","models":["zz"],"adapters":["l","q"],
          "routes":[{"prefix":"chat","class":"fast"},{"prefix":"/a"},{"prefix":"/a"}]},
          {"name":"p","sort":"plain","models":["a"]}],
        "budget":{"percent":30}}"#;
    let got = places(text);
    for want in [
        "stor",
        "store.loads_per_minute",
        "store.x",
        "models[0].weight_mb",
        "models[1].name",
        "models[1].weight_mb",
        "adapters[0].model",
        "services[0].models",
        "services[0].adapters",
        "services[0].routes[0].prefix",
        "services[0].routes[0].class",
        "services[0].routes[2]",
        "services[1]",
        "budget.percent",
    ] {
        assert!(got.iter().any(|g| g == want), "{want} is not among {got:?}");
    }
    for f in read_text(text).expect_err("faults") {
        assert!(!f.remedy.is_empty() && !f.what.is_empty(), "{f}");
    }
}

/// JSON texts that no field may contain, and a part of the error message for each.
const BAD_TEXTS: [(&str, &str); 3] =
    [("\"\"", "is empty"), ("\"a\\nb\"", "control character"), ("LONG", "bytes long")];

#[test]
fn given_a_text_that_is_empty_over_long_or_holds_control_characters_when_read_then_its_field_is_named() {
    let whole = r#"{"models":[{"name":"m","weight_mb":1}],"adapters":[{"name":"l","model":"m","weight_mb":1}],
        "rollout":{"samples":[{"service":"s","model":"m"}]},
        "services":[{"name":"s","sort":"assistant","health":"/h","models":["m"],"adapters":["l"],
        "routes":[{"prefix":"/p","host":"h.example","split":[{"service":"s","weight":1}]}]}]}"#;
    assert!(read_text(whole).is_ok(), "{:?}", read_text(whole));
    let long = format!("\"{}\"", "x".repeat(600));
    for (field, place) in [
        (r#""name":"m""#, "models[0].name"),
        (r#""name":"l""#, "adapters[0].name"),
        (r#""model":"m","weight"#, "adapters[0].model"),
        (r#""service":"s","model""#, "rollout.samples[0].service"),
        (r#""name":"s""#, "services[0].name"),
        (r#""health":"/h""#, "services[0].health"),
        (r#""prefix":"/p""#, "services[0].routes[0].prefix"),
        (r#""host":"h.example""#, "services[0].routes[0].host"),
        (r#""service":"s","weight"#, "services[0].routes[0].split[0].service"),
    ] {
        assert!(whole.contains(field), "{field}");
        let (key, rest) = field.split_once(':').expect("a key");
        let rest = rest.split_once(',').map_or("", |rest| rest.1);
        for (text, what) in BAD_TEXTS {
            let may_be_empty = ["\"health\"", "\"host\""].contains(&key);
            if text == "\"\"" && (may_be_empty || key == "\"prefix\"") {
                continue;
            }
            let text = if text == "LONG" { &long } else { text };
            let comma = if rest.is_empty() { "" } else { "," };
            let faults =
                read_text(&whole.replacen(field, &format!("{key}:{text}{comma}{rest}"), 1)).expect_err(place);
            let said = faults.iter().find(|f| f.place == place && f.what.contains(what));
            assert!(said.is_some_and(|f| !f.remedy.is_empty()), "{place} {what}: {faults:?}");
        }
    }
}

#[test]
fn given_an_empty_name_and_a_negative_weight_when_read_then_both_are_named() {
    let got = places(r#"{"models":[{"name":"","weight_mb":-1}]}"#);
    assert!(got.contains(&"models[0].name".to_string()), "{got:?}");
    assert!(got.contains(&"models[0].weight_mb".to_string()), "{got:?}");
}

#[test]
fn given_broken_json_when_read_then_it_is_refused_without_a_crash() {
    let deep = "[".repeat(10_000);
    for text in ["", "{", "nul", "{\"a\":}", "[1,2", "{\"a\":1}x", "\"\\u12\"", &deep] {
        assert!(Tree::parse(text).is_err(), "{text:.20}");
        assert_eq!(places(text), ["configuration"], "{text:.20}");
    }
}

#[test]
fn given_the_deployments_when_their_configurations_are_shown_then_they_read_back_the_same() {
    for plan in [vanua(), quebec()] {
        let config = read_text(&plan.config()).expect("sound");
        let again = read_text(&config.tree().to_string()).expect("sound");
        assert_eq!(config, again);
    }
}

#[test]
fn given_settings_with_faults_when_read_then_all_are_listed() {
    let text = r#"{"address":"host:1","admin":"0.0.0.0:5","seeds":["127.0.0.1:1","127.0.0.1:1"],"core":99,"colour":"red"}"#;
    let tree = Tree::parse(text).expect("JSON");
    let bad = read_node(Role::Controller, &tree).expect_err("faults");
    let got: Vec<&str> = bad.iter().map(|f| f.place.as_str()).collect();
    for want in ["address", "admin", "seeds", "core", "colour", "domain", "data"] {
        assert!(got.contains(&want), "{want} is not among {got:?}");
    }
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("spindledock-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn rows(n: u64) -> Vec<Record> {
    (0..n).map(|k| Record::Ident { node: NodeId(k) }).collect()
}

#[test]
fn given_a_torn_last_batch_when_opened_then_it_is_cut_and_the_rest_is_kept() {
    let dir = folder("torn");
    let mut disk = LogFile::open(&dir).expect("opens");
    disk.load().expect("empty");
    disk.add(&rows(2)).expect("written");
    let before = disk.len() as usize;
    disk.add(&rows(3)).expect("written");
    let file = dir.join(disk.name().expect("a file"));
    let whole = std::fs::read(&file).expect("read");
    for len in before + 1..whole.len() {
        std::fs::write(&file, &whole[..len]).expect("write");
        let mut disk = LogFile::open(&dir).expect("opens");
        assert_eq!(disk.load().expect("torn, not corrupt"), rows(2), "cut to {len}");
        disk.add(&rows(1)).expect("goes on");
        assert_eq!(LogFile::open(&dir).expect("opens").load().expect("sound").len(), 3);
    }
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn given_a_corrupt_batch_with_good_ones_behind_when_opened_then_it_is_not_served_from() {
    let dir = folder("corrupt");
    let mut disk = LogFile::open(&dir).expect("opens");
    disk.load().expect("empty");
    disk.add(&rows(1)).expect("written");
    let second = disk.len() as usize;
    disk.add(&rows(4)).expect("written");
    let third = disk.len() as usize;
    disk.add(&rows(2)).expect("written");
    let file = dir.join(disk.name().expect("a file"));
    let mut raw = std::fs::read(&file).expect("read");
    for at in 0..third {
        raw[at] ^= 0x40;
        std::fs::write(&file, &raw).expect("write");
        let mut disk = LogFile::open(&dir).expect("opens");
        let fault = disk.load().expect_err("it must be refused");
        assert_eq!(fault.kind, Kind::Damage, "byte {at}, {second}");
        assert!(fault.to_string().contains("corrupt") && fault.to_string().contains("as new"), "{fault}");
        raw[at] ^= 0x40;
    }
    raw[0] ^= 0x40;
    std::fs::write(&file, &raw).expect("write");
    let mut disk = LogFile::open(&dir).expect("opens");
    assert_eq!(disk.set_aside().expect("set aside"), "core.bad.1");
    assert!(disk.load().expect("empty").is_empty());
    assert_eq!(std::fs::read(dir.join("core.bad.1")).expect("kept"), raw);
    let _ = std::fs::remove_dir_all(&dir);
}

#[test]
fn given_any_flipped_bit_when_a_frame_is_opened_then_it_is_refused() {
    let raw = wire::encode_frame(b"some body or other");
    for bit in 0..raw.len() * 8 {
        let mut bad = raw.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(wire::decode_frame(&bad, 1024).is_err(), "bit {bit}");
    }
    assert!(wire::decode_frame(&wire::encode_frame(&[0; 2000]), 1024).is_err());
    assert!(
        [&[][..], &[9, 1], &[1, 255, 7], &[2, 255, 7], &[2, 0, 0, 99]]
            .iter()
            .all(|raw| wire::decode_envelope(raw).is_err())
    );
}

fn check<A: quickcheck::Testable>(test: A) {
    quickcheck::QuickCheck::new().rng(quickcheck::Gen::from_size_and_seed(100, 11)).quickcheck(test);
}

#[test]
fn given_any_bytes_when_unpacked_then_nothing_crashes() {
    fn test(raw: Vec<u8>) -> bool {
        let _ = (log_format::read(1, &raw), log_format::read_format_one(&raw));
        wire::decode_envelope(&raw).is_err()
    }
    check(test as fn(Vec<u8>) -> bool);
}

#[test]
fn given_any_text_when_parsed_then_what_is_shown_reads_back() {
    fn test(text: String) -> bool {
        let tree = Tree::Map(vec![(text.clone(), Tree::Text(text))]);
        Tree::parse(&tree.to_string()) == Ok(tree)
    }
    check(test as fn(String) -> bool);
}

#[test]
fn given_any_chunking_when_split_then_events_come_whole() {
    fn test(cuts: Vec<u8>) -> bool {
        let whole: String = (0..20).map(|n| format!("id: {n}\ndata: w{n}\n\n")).collect();
        let (mut s, mut rest, mut out) = (EventSplitter::default(), whole.as_bytes(), Vec::new());
        for c in cuts {
            let (a, b) = rest.split_at((c as usize % 30).min(rest.len()));
            out.extend(s.push(a));
            rest = b;
        }
        out.extend(s.push(rest));
        out.len() == 20 && out.iter().enumerate().all(|(n, i)| i.id == Some(n.to_string()))
    }
    check(test as fn(Vec<u8>) -> bool);
}

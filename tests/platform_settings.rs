#[path = "platform_given/folder.rs"]
mod folder;
mod platform_given;

use folder::Folder;
use platform_given::{controller, router, sound};
use spindledock::msg::Role;
use spindledock::platform::settings::{PATH_VARIABLE, read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

fn places(role: Role, text: &str) -> Vec<String> {
    let faults = read(role, text).expect_err("it has faults");
    sound(&faults);
    faults.into_iter().map(|f| f.place).collect()
}

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn given_good_settings_when_read_then_each_role_gets_its_addresses_and_figures() {
    let c = read(Role::Router, &router(8144, 8140, 7660)).expect("good");
    assert_eq!(c.addr, addr("127.0.0.1:7660"));
    assert_eq!((c.http, c.admin), (Some(addr("127.0.0.1:8144")), addr("127.0.0.1:8140")));
    assert_eq!(c.domain.0, "hall-a");
    assert_eq!(c.seeds, [addr("127.0.0.1:7660"), addr("127.0.0.2:7660"), addr("127.0.0.3:7660")]);
    assert!(
        c.core_size == 0
            && c.tolerated_failures == 1
            && c.may_found
            && c.data.is_none()
            && c.is_single_threaded
            && c.drain_ms < 8000
            && c.lame_ms < c.drain_ms
    );
    let c = read(Role::Controller, &controller()).expect("good");
    assert_eq!((c.http, c.admin), (None, addr("127.0.0.1:8144")));
    assert_eq!((c.data, c.tolerated_failures, c.lame_ms), (Some(PathBuf::from("/var/data")), 1, 0));
    let two = controller().replace("Machines: 1", "Machines: 2");
    let two = read(Role::Controller, &two.replace("Bootstrap: true", "Bootstrap: false")).expect("good");
    assert_eq!((two.core_size, two.tolerated_failures, two.may_found), (0, 2, false));
}

#[test]
fn given_itself_among_the_seeds_or_one_seed_only_when_read_then_that_is_no_fault() {
    let text = router(8144, 8140, 7660);
    assert!(read(Role::Router, &text).expect("good").seeds.contains(&addr("127.0.0.1:7660")));
    let one = text.replace("  - \"127.0.0.1:8146\"\n  - \"127.0.0.3:8146\"\n", "");
    let one = one.replace("  - \"127.0.0.1:8146\"\n", "").replace("  - \"127.0.0.3:8146\"\n", "");
    assert_eq!(read(Role::Router, &one).expect("good").seeds, [addr("127.0.0.2:7660")]);
}

#[test]
fn given_many_wrong_fields_when_read_then_every_fault_is_named_with_its_remedy() {
    let mut text = router(8144, 8140, 7660);
    for (from, to) in [
        ("FrontHttp: \"127.0.0.1:8144\"", "FrontHttp: \"here\""),
        ("Readiness: \"127.0.0.1:8140\"", "Readiness: 12"),
        ("NodeName: \"edge-a-1\"", "NodeName: [1]"),
        ("Ip: \"127.0.0.1\"", "Ip: \"one\""),
        ("Zone: \"hall-a\"", "Zone: null"),
        ("  - 7660", "  - 77660"),
        ("\"127.0.0.2:8146\"", "\"127.0.0.2\""),
        ("Address: \"127.0.0.4:8142\"", "Address: {}"),
    ] {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    let got = places(Role::Router, &text);
    for want in [
        "Bindings.FrontHttp",
        "Bindings.Readiness",
        "NodeName",
        "Ip",
        "Zone",
        "EphemeralPorts",
        "SeedPeers",
        "CloudApi.Address",
    ] {
        assert!(got.iter().any(|g| g == want), "{want} is not among {got:?}");
    }
}

#[test]
fn given_a_field_missing_when_read_then_that_field_is_named() {
    let cut = |key: &str| {
        let at = |l: &&str| !l.trim_start().starts_with(key);
        router(8144, 8140, 7660).lines().filter(at).collect::<Vec<_>>().join("\n")
    };
    for (key, want) in [
        ("NodeName", "NodeName"),
        ("Ip:", "Ip"),
        ("Zone:", "Zone"),
        ("FrontHttp", "Bindings.FrontHttp"),
        ("Readiness", "Bindings.Readiness"),
        ("- 7", "EphemeralPorts"),
        ("Address", "CloudApi.Address"),
    ] {
        assert!(places(Role::Router, &cut(key)).iter().any(|g| g == want), "{want}");
    }
    let bare = controller().replace("DataDir: \"/var/data\"", "DataDir: null");
    assert_eq!(places(Role::Controller, &bare), ["DataDir"]);
    let odd = router(8144, 8140, 7660).replace("SeedPeers:\n", "SeedPeers: \"all\"\nOther:\n");
    assert_eq!(places(Role::Router, &odd), ["SeedPeers"]);
}

#[test]
fn given_text_that_is_no_settings_page_when_read_then_it_is_refused_without_a_crash() {
    for text in ["", "---\n", "{", "a: [", "12", "- 1\n- 2", "\t\t:", "a: &x [*x, *y]"] {
        assert!(!places(Role::Router, text).is_empty(), "{text:?}");
    }
}

fn program(name: &str, file: Option<&str>) -> (Option<i32>, String) {
    let mut c = Command::new(name);
    c.arg("--platform").env_remove(PATH_VARIABLE).stdin(Stdio::null());
    if let Some(f) = file {
        c.env(PATH_VARIABLE, f);
    }
    let out = c.output().expect("it starts");
    (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn given_faulty_settings_when_a_program_starts_then_it_names_every_fault_and_ends_with_2() {
    let dir = Folder::new("faulty");
    let text = router(8144, 8140, 7660).replace("Zone: \"hall-a\"", "").replace("NodeName: \"edge-a-1\"", "");
    let file = dir.write(&text);
    for name in [env!("CARGO_BIN_EXE_spindledock-router"), env!("CARGO_BIN_EXE_spindledock-controller")] {
        let (code, told) = program(name, Some(&file));
        assert_eq!(code, Some(2), "{told}");
        assert!(told.contains("NodeName: ") && told.contains("Zone: "), "{told}");
        let (code, told) = program(name, Some("/nowhere/boot.yaml"));
        assert!(code == Some(2) && told.contains("/nowhere/boot.yaml"), "{told}");
        let (code, told) = program(name, None);
        assert!(code == Some(2) && told.contains(PATH_VARIABLE), "{told}");
    }
}

//! What `If-Match` may hold, and what each form of it means.

use spindledock::kernel::ids::ChangeId;
use spindledock::msg::{Answer, Event, OperatorCall};
use spindledock::platform::operator::{PlatformOperator, SettingsFigures};
use spindledock::protocol::{OperatorProtocol, ParsedCall};

/// The base that a call states, or the status that it gets at once.
fn base(value: Option<&str>) -> Result<Option<u64>, u16> {
    let side = PlatformOperator { figures: SettingsFigures::default() };
    match side.read_request(ChangeId::default(), "PUT", "/spindledock/config", value, "{}") {
        Some(ParsedCall::Event(event)) => match *event {
            Event::OperatorCall { op: OperatorCall::PlatformConfig { base, .. }, .. } => Ok(base),
            other => panic!("{other:?}"),
        },
        Some(ParsedCall::Bad(answer)) => Err(side.status(&answer)),
        _ => panic!("no wish"),
    }
}

fn id(method: &str, value: Option<&str>, text: &str) -> ChangeId {
    PlatformOperator { figures: SettingsFigures::default() }.id(method, value, text)
}

#[test]
fn given_an_if_match_when_absent_or_any_or_one_number_then_it_is_taken_as_such() {
    assert_eq!((base(None), base(Some("*")), base(Some(" * "))), (Ok(None), Ok(None), Ok(None)));
    assert_eq!(
        (base(Some("5")), base(Some("\"5\"")), base(Some(" 05 "))),
        (Ok(Some(5)), Ok(Some(5)), Ok(Some(5)))
    );
    assert_eq!(base(Some("0")), Ok(Some(0)));
    assert_eq!(base(Some("9007199254740992")), Ok(Some(1 << 53)));
}

#[test]
fn given_an_if_match_that_no_revision_can_meet_when_sent_then_it_is_refused_at_once() {
    for never in [
        "W/\"5\"",
        "W/5",
        "5, 6",
        "\"5\",\"7\"",
        "5,5",
        "*,5",
        "-1",
        "+5",
        "\"5",
        "5\"",
        "5.0",
        "5e0",
        "0x5",
        "v5",
        "",
        "\"\"",
        "five",
        "\u{fffd}",
        "9007199254740993",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999",
    ] {
        assert_eq!(base(Some(never)), Err(412), "{never}");
    }
}

#[test]
fn given_the_same_order_when_its_base_is_written_in_another_way_then_its_identity_is_the_same() {
    assert_eq!(id("PUT", Some("5"), "{}"), id("PUT", Some("\"5\""), "{}"));
    assert_eq!(id("PUT", None, "{}"), id("PUT", Some("*"), "{}"));
    let all = [
        id("PUT", Some("5"), "{}"),
        id("PATCH", Some("5"), "{}"),
        id("PUT", Some("6"), "{}"),
        id("PUT", None, "{}"),
        id("PUT", Some("0"), "{}"),
        id("PUT", Some("5"), "{ }"),
    ];
    for (n, one) in all.iter().enumerate() {
        assert!(all[n + 1..].iter().all(|two| one != two && one.name != two.name));
    }
}

#[test]
fn given_an_answer_that_names_another_controller_when_it_is_told_then_it_is_a_redirect() {
    let side = PlatformOperator { figures: SettingsFigures::default() };
    let unanswered = Answer::new(503, "no-majority", "ask another node", 1);
    assert_eq!(side.status(&unanswered), 503);
    let redirect = "10.0.0.4:8080".parse().ok();
    assert_eq!(side.status(&Answer { redirect, ..unanswered }), 307);
}

//! JSON documents keep their numbers and strings exactly when they are read and written again.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use spindledock::json::Tree;
use spindledock::json::tree::EXACT_INTEGERS;

fn check<A: quickcheck::Testable>(test: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 9)).tests(3000).quickcheck(test);
}

/// A random well-formed number literal of any size.
#[derive(Clone, Debug)]
struct Literal(String);

impl Arbitrary for Literal {
    fn arbitrary(g: &mut Gen) -> Literal {
        let digits = |g: &mut Gen| -> String {
            let count = usize::arbitrary(g) % 25 + 1;
            (0..count).map(|_| char::from(b'0' + u8::arbitrary(g) % 10)).collect()
        };
        let whole = digits(g);
        let whole = match whole.trim_start_matches('0') {
            "" => "0".to_string(),
            rest => rest.to_string(),
        };
        let sign = if bool::arbitrary(g) { "-" } else { "" };
        let fraction = if bool::arbitrary(g) { format!(".{}", digits(g)) } else { String::new() };
        let signs = ["e", "E", "e+", "E-"];
        let mark = signs[usize::arbitrary(g) % signs.len()];
        let exponent =
            if bool::arbitrary(g) { format!("{mark}{}", u16::arbitrary(g) % 500) } else { String::new() };
        Literal(format!("{sign}{whole}{fraction}{exponent}"))
    }
}

/// The digits of a number without zeros at either end, and the power of ten of its last digit.
fn canonical(literal: &str) -> (bool, String, i64) {
    let (mantissa, exponent) = literal.split_once(['e', 'E']).unwrap_or((literal, "0"));
    let (whole, fraction) = mantissa.split_once('.').unwrap_or((mantissa, ""));
    let all = format!("{}{fraction}", whole.trim_start_matches('-'));
    let kept = all.trim_end_matches('0');
    let digits = kept.trim_start_matches('0').to_string();
    if digits.is_empty() {
        return (false, digits, 0);
    }
    let shift = (all.len() - kept.len()) as i64 - fraction.len() as i64;
    (mantissa.starts_with('-'), digits, exponent.parse::<i64>().expect("a number") + shift)
}

#[test]
fn given_any_number_when_read_and_written_then_it_is_the_same_number() {
    fn same(literal: Literal) -> bool {
        let Ok(tree) = Tree::parse(&literal.0) else { return false };
        let written = tree.to_string();
        canonical(&written) == canonical(&literal.0) && Tree::parse(&written) == Ok(tree)
    }
    check(same as fn(Literal) -> bool);
    for literal in
        ["1e+5", "1E300", "1e400", "18446744073709551616", "9007199254740993", "0.1", "-0", "5e-324"]
    {
        assert!(same(Literal(literal.into())), "{literal}");
    }
}

#[test]
fn given_any_float_or_text_when_written_then_it_reads_back() {
    fn float(number: f64) -> bool {
        !number.is_finite() || Tree::parse(&Tree::Num(number).to_string()) == Ok(Tree::Num(number))
    }
    fn text(text: String) -> bool {
        let tree = Tree::List(vec![Tree::Text(text)]);
        Tree::parse(&tree.to_string()) == Ok(tree)
    }
    check(float as fn(f64) -> bool);
    check(text as fn(String) -> bool);
}

#[test]
fn given_any_bytes_when_read_then_it_is_a_document_that_reads_back_or_a_fault() {
    fn sound(bytes: Vec<u8>) -> bool {
        const ALPHABET: &[u8] = b"{}[]\":,0123456789eE+-. \\utrfalsn\n";
        let text: String = bytes.iter().map(|b| char::from(ALPHABET[*b as usize % ALPHABET.len()])).collect();
        Tree::parse(&text).is_err() || Tree::parse(&text).is_ok_and(|t| Tree::parse(&t.to_string()) == Ok(t))
    }
    check(sound as fn(Vec<u8>) -> bool);
}

#[test]
fn given_what_is_no_json_when_read_then_it_is_refused() {
    for bad in [
        "",
        "01",
        "-",
        "+1",
        "1.",
        ".5",
        "1e",
        "1e+",
        "0x1",
        "NaN",
        "Infinity",
        "[1,]",
        "{\"a\":1,}",
        "{a:1}",
        "[1 2]",
        "\"\\ud800\"",
        "\"\\x\"",
        "\"\u{1}\"",
        "\"open",
        "tru",
        "1 2",
        "'a'",
        "{\"a\" 1}",
        "// x\n1",
    ] {
        assert!(Tree::parse(bad).is_err(), "{bad}");
    }
    assert!(Tree::parse(&"[".repeat(1000)).is_err());
    assert_eq!(Tree::parse("\"\\ud83d\\ude00\\u0041\""), Ok(Tree::Text("\u{1f600}A".into())));
}

#[test]
fn given_a_number_that_must_be_exact_when_it_is_not_whole_or_too_large_then_it_is_none() {
    let whole = |text: &str| Tree::parse(&format!("{{\"n\":{text}}}")).expect("JSON").whole("n");
    assert_eq!((whole("7"), whole("7.0"), whole("1e3")), (Some(7), Some(7), Some(1000)));
    assert_eq!(whole(&EXACT_INTEGERS.to_string()), Some(EXACT_INTEGERS));
    for bad in ["7.5", "-1", "9007199254740993", "1e400", "18446744073709551616", "\"7\"", "null"] {
        assert_eq!(whole(bad), None, "{bad}");
    }
}

//! JSON numbers: a float if it represents exactly what was written, the literal otherwise.

use super::tree::Tree;

/// How many decimal digits any float preserves.
const SAFE_DIGITS: usize = 15;
/// Numbers outside these bounds are written with an exponent.
const PLAIN_FROM: f64 = 1e-6;
const PLAIN_BELOW: f64 = 1e16;

/// Turns a well-formed literal into a value that is written back as the same number.
pub fn read(literal: &str) -> Tree {
    let short = literal.len() <= SAFE_DIGITS && !literal.contains(['e', 'E']);
    match literal.parse::<f64>() {
        Ok(number) if short || (number.is_finite() && same_number(literal, &write(number))) => {
            Tree::Num(number)
        }
        _ => Tree::Literal(literal.to_string()),
    }
}

/// The shortest text that reads back as this number.
pub fn write(number: f64) -> String {
    let size = number.abs();
    if size == 0.0 || (PLAIN_FROM..PLAIN_BELOW).contains(&size) {
        format!("{number}")
    } else {
        format!("{number:e}")
    }
}

/// Whether two literals denote the same number.
fn same_number(one: &str, two: &str) -> bool {
    match (Decimal::read(one), Decimal::read(two)) {
        (Some(one), Some(two)) => one == two,
        _ => false,
    }
}

/// A decimal number with neither leading nor trailing zeros: `digits` x 10^`exponent`.
#[derive(PartialEq)]
struct Decimal {
    negative: bool,
    digits: String,
    exponent: i64,
}

impl Decimal {
    fn read(literal: &str) -> Option<Decimal> {
        let (mantissa, exponent) = literal.split_once(['e', 'E']).unwrap_or((literal, "0"));
        let exponent: i32 = exponent.parse().ok()?;
        let bare = mantissa.strip_prefix('-').unwrap_or(mantissa);
        let (whole, fraction) = bare.split_once('.').unwrap_or((bare, ""));
        let all = format!("{whole}{fraction}");
        let kept = all.trim_end_matches('0');
        let digits = kept.trim_start_matches('0').to_string();
        if digits.is_empty() {
            return Some(Decimal { negative: false, digits, exponent: 0 });
        }
        let dropped = (all.len() - kept.len()) as i64;
        let exponent = i64::from(exponent) - fraction.len() as i64 + dropped;
        Some(Decimal { negative: mantissa.starts_with('-'), digits, exponent })
    }
}

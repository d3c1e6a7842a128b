use crate::json::Tree;
use sqlparser::ast::{BinaryOperator, Expr, InTarget, UnaryOperator, Value};
use std::cmp::Ordering;

pub fn column(e: &Expr) -> Result<String, String> {
    match e {
        Expr::Identifier(i) => Ok(i.value.clone()),
        Expr::CompoundIdentifier(parts) => Ok(parts.last().map_or(String::new(), |i| i.value.clone())),
        other => Err(format!("\"{other}\" is no column; name one of the table's")),
    }
}

pub fn value(e: &Expr, row: &Tree) -> Result<Tree, String> {
    match e {
        Expr::Identifier(_) | Expr::CompoundIdentifier(_) => {
            let name = column(e)?;
            let Tree::Map(cells) = row else { return Ok(Tree::Null) };
            let known = || cells.iter().map(|c| c.0.as_str()).collect::<Vec<_>>().join(", ");
            row.get(&name)
                .cloned()
                .ok_or_else(|| format!("column \"{name}\" is unknown; the table has {}", known()))
        }
        Expr::Value(v) => match &v.value {
            Value::Number(n, _) => Ok(Tree::Num(n.parse().map_err(|_| format!("{n} is no number"))?)),
            Value::SingleQuotedString(t) | Value::DoubleQuotedString(t) => Ok(Tree::Text(t.clone())),
            Value::Boolean(b) => Ok(Tree::Bool(*b)),
            Value::Null => Ok(Tree::Null),
            other => Err(format!("{other} is not understood; use numbers, texts, true or false")),
        },
        Expr::Nested(e) => value(e, row),
        Expr::UnaryOp { op: UnaryOperator::Not, expr } => Ok(Tree::Bool(!truth(expr, row)?)),
        Expr::IsNull(e) => Ok(Tree::Bool(value(e, row)? == Tree::Null)),
        Expr::IsNotNull(e) => Ok(Tree::Bool(value(e, row)? != Tree::Null)),
        Expr::In { expr, target: InTarget::List(list), negated, .. } => {
            let v = value(expr, row)?;
            let mut found = false;
            for e in list {
                found |= value(e, row)? == v;
            }
            Ok(Tree::Bool(found != *negated))
        }
        Expr::Like { negated, expr, pattern, .. } => {
            let (v, p) = (text(&value(expr, row)?), text(&value(pattern, row)?));
            Ok(Tree::Bool(like(&v, &p) != *negated))
        }
        Expr::BinaryOp { left, op, right } => binary(left, op, right, row),
        other => Err(format!("\"{other}\" is not understood; compare columns with =, <>, <, >, LIKE, IN")),
    }
}

fn binary(left: &Expr, op: &BinaryOperator, right: &Expr, row: &Tree) -> Result<Tree, String> {
    match op {
        BinaryOperator::And => return Ok(Tree::Bool(truth(left, row)? && truth(right, row)?)),
        BinaryOperator::Or => return Ok(Tree::Bool(truth(left, row)? || truth(right, row)?)),
        _ => {}
    }
    let order = compare(&value(left, row)?, &value(right, row)?);
    let holds = match op {
        BinaryOperator::Eq => order == Ordering::Equal,
        BinaryOperator::NotEq => order != Ordering::Equal,
        BinaryOperator::Lt => order == Ordering::Less,
        BinaryOperator::Gt => order == Ordering::Greater,
        BinaryOperator::LtEq => order != Ordering::Greater,
        BinaryOperator::GtEq => order != Ordering::Less,
        other => return Err(format!("{other} is not understood; use =, <>, <, >, <=, >=, AND, OR")),
    };
    Ok(Tree::Bool(holds))
}

pub fn truth(e: &Expr, row: &Tree) -> Result<bool, String> {
    Ok(value(e, row)? == Tree::Bool(true))
}

pub fn text(t: &Tree) -> String {
    match t {
        Tree::Text(t) => t.clone(),
        other => other.to_string(),
    }
}

pub fn compare(a: &Tree, b: &Tree) -> Ordering {
    match (a, b) {
        (Tree::Num(a), Tree::Num(b)) => a.total_cmp(b),
        _ => text(a).cmp(&text(b)),
    }
}

fn like(v: &str, p: &str) -> bool {
    let (v, p): (Vec<char>, Vec<char>) = (v.chars().collect(), p.chars().collect());
    let mut fits = vec![false; v.len() + 1];
    fits[0] = true;
    for c in p {
        let mut next = vec![false; v.len() + 1];
        for n in 0..=v.len() {
            next[n] = match c {
                '%' => fits[n] || (n > 0 && next[n - 1]),
                '_' => n > 0 && fits[n - 1],
                c => n > 0 && fits[n - 1] && v[n - 1] == c,
            };
        }
        fits = next;
    }
    fits[v.len()]
}

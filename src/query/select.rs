use super::eval::{column, compare, text, truth, value};
use super::tables::{NAMES, rows};
use crate::json::Tree;
use crate::kernel::component::Views;
use sqlparser::ast::*;
use sqlparser::dialect::GenericDialect;
use sqlparser::parser::Parser;
use std::collections::BTreeMap;

const MOST: usize = 1000;

pub fn run(sql: &str, views: &Views) -> Result<Tree, String> {
    let parsed = Parser::parse_sql(&GenericDialect {}, sql).map_err(|e| format!("{e}; write one SELECT"))?;
    let [Statement::Query(q)] = &parsed[..] else { return Err("write one SELECT".into()) };
    let SetExpr::Select(s) = &*q.body else { return Err("write one plain SELECT".into()) };
    let [from] = &s.from[..] else { return Err("name one table after FROM".into()) };
    let TableFactor::Table { name, .. } = &from.relation else {
        return Err("name a table after FROM".into());
    };
    if !from.joins.is_empty() || s.having.is_some() {
        return Err("joins and HAVING are not offered; ask twice".into());
    }
    let name = name.to_string().to_lowercase();
    let all =
        rows(&name, views).ok_or(format!("table \"{name}\" is unknown; there are {}", NAMES.join(", ")))?;
    let mut kept = Vec::new();
    for row in all {
        if s.selection.as_ref().map_or(Ok(true), |e| truth(e, &row))? {
            kept.push(row);
        }
    }
    let GroupByExpr::Expressions(groups, _) = &s.group_by else {
        return Err("name the columns of GROUP BY".into());
    };
    let sums = s.projection.iter().any(|i| matches!(item(i), Some((Expr::Function(_), _))));
    let mut out = if sums || !groups.is_empty() {
        grouped(s, groups, kept)?
    } else {
        order(q, &mut kept)?;
        kept.iter().map(|row| shown(s, row)).collect::<Result<Vec<_>, _>>()?
    };
    if sums || !groups.is_empty() {
        order(q, &mut out)?;
    }
    out.truncate(limit(q)?);
    Ok(Tree::List(out))
}

fn limit(q: &Query) -> Result<usize, String> {
    let Some(LimitClause::LimitOffset { limit: Some(e), .. }) = &q.limit_clause else { return Ok(MOST) };
    match value(e, &Tree::Null)? {
        Tree::Num(n) => Ok((n as usize).min(MOST)),
        _ => Err("LIMIT needs a number".into()),
    }
}

fn order(q: &Query, rows: &mut [Tree]) -> Result<(), String> {
    let Some(by) = &q.order_by else { return Ok(()) };
    let OrderByKind::Expressions(list) = &by.kind else { return Err("name the columns of ORDER BY".into()) };
    for e in list.iter().rev() {
        if let Some(row) = rows.first() {
            value(&e.expr, row)?;
        }
        let key = |r: &Tree| value(&e.expr, r).unwrap_or(Tree::Null);
        let down = e.options.sort == Some(OrderBySort::Desc);
        rows.sort_by(|a, b| {
            let order = compare(&key(a), &key(b));
            if down { order.reverse() } else { order }
        });
    }
    Ok(())
}

fn item(i: &SelectItem) -> Option<(&Expr, String)> {
    match i {
        SelectItem::UnnamedExpr(e) => Some((e, e.to_string())),
        SelectItem::ExprWithAlias { expr, alias } => Some((expr, alias.value.clone())),
        _ => None,
    }
}

fn shown(s: &Select, row: &Tree) -> Result<Tree, String> {
    let mut cells = Vec::new();
    for i in &s.projection {
        match (item(i), row) {
            (None, Tree::Map(all)) => cells.extend(all.clone()),
            (Some((e, name)), _) => cells.push((name, value(e, row)?)),
            _ => {}
        }
    }
    Ok(Tree::Map(cells))
}

fn grouped(s: &Select, groups: &[Expr], rows: Vec<Tree>) -> Result<Vec<Tree>, String> {
    let mut sets: BTreeMap<Vec<String>, Vec<Tree>> = BTreeMap::new();
    if groups.is_empty() {
        sets.insert(vec![], vec![]);
    }
    for row in rows {
        let key = groups.iter().map(|e| value(e, &row).map(|v| text(&v))).collect::<Result<Vec<_>, _>>()?;
        sets.entry(key).or_default().push(row);
    }
    let mut out = Vec::new();
    for set in sets.values() {
        let mut cells = Vec::new();
        for i in &s.projection {
            let (e, name) = item(i).ok_or("name the columns, * does not go with sums")?;
            let cell = match e {
                Expr::Function(f) => sum(f, set)?,
                e => set.first().map_or(Ok(Tree::Null), |row| value(e, row))?,
            };
            cells.push((name, cell));
        }
        out.push(Tree::Map(cells));
    }
    Ok(out)
}

fn sum(f: &Function, set: &[Tree]) -> Result<Tree, String> {
    let name = f.name.to_string().to_lowercase();
    let FunctionArguments::List(args) = &f.args else { return Err(format!("{name} needs a column")) };
    let arg = match &args.args[..] {
        [FunctionArg::Unnamed(FunctionArgExpr::Wildcard)] if name == "count" => {
            return Ok(Tree::from(set.len() as u64));
        }
        [FunctionArg::Unnamed(FunctionArgExpr::Expr(e))] => column(e).map(|_| e)?,
        _ => return Err(format!("{name} needs one column")),
    };
    let cells = set.iter().map(|row| value(arg, row)).collect::<Result<Vec<_>, _>>()?;
    let nums = cells.iter().filter_map(|c| if let Tree::Num(n) = c { Some(*n) } else { None });
    Ok(match name.as_str() {
        "count" => Tree::from(cells.iter().filter(|c| **c != Tree::Null).count() as u64),
        "sum" => Tree::Num(nums.sum()),
        "avg" if !cells.is_empty() => Tree::Num(nums.sum::<f64>() / cells.len() as f64),
        "min" => cells.into_iter().min_by(compare).unwrap_or(Tree::Null),
        "max" => cells.into_iter().max_by(compare).unwrap_or(Tree::Null),
        _ => return Err(format!("{name} is not offered; use count, sum, avg, min or max")),
    })
}

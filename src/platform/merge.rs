//! Partial changes of a configuration: merges a change of named items into the current document.
#![deny(missing_docs)]

use crate::json::Tree;
use crate::kernel::fault::{Fault, Kind};
use std::collections::{BTreeMap, BTreeSet};

/// The lists that a complete document must have.
pub const REQUIRED_LISTS: [&str; 2] = ["RouteMap", "Backends"];
/// The list of tenants. Without it, requests need no key.
pub const TENANTS: &str = "Tenants";
/// The lists whose items a change can name.
const NAMED_LISTS: [&str; 3] = ["RouteMap", "Backends", TENANTS];
const LIMITS: &str = "Limits";
const UPSERT: &str = "Upsert";
const WITHDRAW: &str = "Withdraw";

fn not_an_object() -> Vec<Fault> {
    vec![Fault::new(Kind::Config, "configuration", "is no object", "send one JSON object")]
}

/// Parses a document. Fails unless it is one JSON object.
pub fn parse(text: &str) -> Result<Tree, Vec<Fault>> {
    let malformed = |why| vec![Fault::new(Kind::Config, "configuration", why, "send one JSON object")];
    match Tree::parse(text).map_err(malformed)? {
        Tree::Map(rows) => Ok(Tree::Map(rows)),
        _ => Err(not_an_object()),
    }
}

/// Sets a member of an object.
fn put(rows: &mut Vec<(String, Tree)>, key: &str, value: Tree) {
    match rows.iter_mut().find(|r| r.0 == key) {
        Some(row) => row.1 = value,
        None => rows.push((key.to_string(), value)),
    }
}

fn list_of(rows: &[(String, Tree)], key: &str) -> Vec<Tree> {
    let found = rows.iter().find(|r| r.0 == key);
    match found {
        Some((_, Tree::List(items))) => items.clone(),
        _ => vec![],
    }
}

/// Merges one list: replaced items keep their places, withdrawn items are dropped, and new ones are appended.
fn merge_list(old: Vec<Tree>, upserts: &[Tree], withdrawn: &BTreeSet<String>) -> Vec<Tree> {
    let mut by_name: BTreeMap<&str, &Tree> =
        upserts.iter().filter_map(|item| Some((item.text("Name")?, item))).collect();
    let mut merged = Vec::with_capacity(old.len() + upserts.len());
    for item in old {
        let name = item.text("Name").unwrap_or("").to_string();
        if let Some(replacement) = by_name.remove(name.as_str()) {
            merged.push(replacement.clone());
        } else if !withdrawn.contains(&name) {
            merged.push(item);
        }
    }
    let is_new = |item: &&Tree| item.text("Name").is_some_and(|name| by_name.contains_key(name));
    merged.extend(upserts.iter().filter(is_new).cloned());
    merged
}

/// The document that results from applying `change` to `current`. Fails if either is no object.
pub fn merge(current: Tree, change: &Tree) -> Result<Tree, Vec<Fault>> {
    let (Tree::Map(mut rows), Tree::Map(fields)) = (current, change) else {
        return Err(not_an_object());
    };
    for (key, value) in fields.iter().filter(|field| field.0 != UPSERT && field.0 != WITHDRAW) {
        put(&mut rows, key, value.clone());
    }
    for key in NAMED_LISTS {
        let withdrawn: BTreeSet<String> =
            change.get(WITHDRAW).map_or(vec![], |t| t.texts(key)).into_iter().collect();
        let upserts = change.get(UPSERT).map_or(&[][..], |t| t.list(key));
        if withdrawn.is_empty() && upserts.is_empty() {
            continue;
        }
        let merged = merge_list(list_of(&rows, key), upserts, &withdrawn);
        put(&mut rows, key, Tree::List(merged));
    }
    if let Some(Tree::Map(limits)) = change.get(UPSERT).and_then(|t| t.get(LIMITS)) {
        put(&mut rows, LIMITS, Tree::Map(limits.clone()));
    }
    Ok(Tree::Map(rows))
}

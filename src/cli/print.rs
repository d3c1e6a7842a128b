use crate::json::Tree;

pub fn human(tree: &Tree) -> String {
    let mut out = String::new();
    write(tree, 0, &mut out);
    out
}

fn bare(tree: &Tree) -> String {
    match tree {
        Tree::Text(t) => t.clone(),
        Tree::Null => "-".into(),
        Tree::List(rows) if rows.is_empty() => "-".into(),
        Tree::List(rows) if rows.iter().all(|r| matches!(r, Tree::Text(_))) => {
            rows.iter().map(bare).collect::<Vec<_>>().join(",")
        }
        other => other.to_string(),
    }
}

fn flat(tree: &Tree) -> bool {
    match tree {
        Tree::Map(_) => false,
        Tree::List(rows) => rows.iter().all(|r| matches!(r, Tree::Text(_))),
        _ => true,
    }
}

fn write(tree: &Tree, deep: usize, out: &mut String) {
    let pad = "  ".repeat(deep);
    match tree {
        Tree::Map(rows) => {
            let wide = rows.iter().filter(|r| flat(&r.1)).map(|r| r.0.len()).max().unwrap_or(0);
            for (key, value) in rows {
                if flat(value) {
                    out.push_str(&format!("{pad}{key:wide$}  {}\n", bare(value)));
                } else {
                    out.push_str(&format!("{pad}{key}\n"));
                    write(value, deep + 1, out);
                }
            }
        }
        Tree::List(rows) if table(rows) => columns(rows, &pad, out),
        Tree::List(rows) => {
            for row in rows {
                write(row, deep, out);
                if !flat(row) {
                    out.push('\n');
                }
            }
        }
        other => out.push_str(&format!("{pad}{}\n", bare(other))),
    }
}

fn table(rows: &[Tree]) -> bool {
    let simple = |r: &Tree| matches!(r, Tree::Map(cells) if cells.iter().all(|c| flat(&c.1)));
    !rows.is_empty() && rows.iter().all(simple)
}

fn columns(rows: &[Tree], pad: &str, out: &mut String) {
    let Some(Tree::Map(first)) = rows.first() else { return };
    let keys: Vec<&String> = first.iter().map(|c| &c.0).collect();
    let cell = |row: &Tree, key: &str| row.get(key).map_or("-".into(), bare);
    let wide: Vec<usize> =
        keys.iter().map(|k| rows.iter().map(|r| cell(r, k).len()).max().unwrap_or(0).max(k.len())).collect();
    let line = |cells: Vec<String>| {
        let padded: Vec<String> = cells.iter().zip(&wide).map(|(c, w)| format!("{c:w$}")).collect();
        format!("{pad}{}\n", padded.join("  ").trim_end())
    };
    out.push_str(&line(keys.iter().map(|k| k.to_string()).collect()));
    for row in rows {
        out.push_str(&line(keys.iter().map(|k| cell(row, k)).collect()));
    }
}

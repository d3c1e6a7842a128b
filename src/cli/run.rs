use super::print::human;
use crate::fleet::read::read_text;
use crate::http::connection::SendError;
use crate::http::pool::{Pool, always_allowed};
use crate::json::Tree;
use crate::json::tree::map;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::time::Duration;

pub const HELP: &str = "\
spindledock: drive a spindledock fleet from any of its nodes

  spindledock [--node IP:PORT,...] [--json] COMMAND

  check FILE            read a configuration and list every fault; asks no node
  show                  the configuration in force and its version
  apply FILE            send a whole configuration   [--base VERSION] [--id ID]
  patch FILE            send a partial change        [--base VERSION] [--id ID]
  change ID             the outcome of a change, with each stage's allowance
  history               the latest outcomes
  status | nodes | runners
  plan                  placement plans and moves, with each stage's figures
  plan --propose        ask for a whole plan from what is held and asked for now
  plan --accept VERSION let a proposed plan go ahead
  plan --file FILE      plan offline from configuration, reports and demand; asks no node
  move --service S --model M --from R --to R [--want M]
  list FILE             give the runner list, as the platform does
  leaving INSTANCE      mark a runner as leaving
  local | metrics | ready    about the asked node alone
  query SQL             SELECT over nodes, runners, models, moves, history

--node is any node's admin address (or SPINDLEDOCK_NODE); with several, the next
one is asked when one cannot be reached.
Exit codes: 0 done, 1 refused, 2 wrong usage or file, 3 not available, 4 outcome unknown.";

pub struct Sent {
    pub status: u16,
    pub body: String,
}

pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub body: String,
    pub heads: Vec<(&'static str, String)>,
}

impl Ask {
    pub fn get(path: &str) -> Ask {
        Ask { method: "GET", path: path.into(), body: String::new(), heads: vec![] }
    }

    pub fn send(method: &'static str, path: &str, body: String) -> Ask {
        Ask { method, path: path.into(), body, heads: vec![] }
    }
}

pub async fn ask(pool: &Pool, nodes: &[SocketAddr], a: &Ask) -> Result<Sent, String> {
    let mut last = "no node was named; give --node IP:PORT".to_string();
    for node in nodes {
        let mut order =
            Request::builder().method(a.method).uri(a.path.as_str()).header("host", node.to_string());
        for (k, v) in &a.heads {
            order = order.header(*k, v);
        }
        let order = order.body(Full::new(Bytes::from(a.body.clone()))).map_err(|e| e.to_string())?;
        match pool.fetch(*node, order, Duration::from_secs(25), always_allowed()).await {
            Ok((status, body)) => {
                return Ok(Sent { status, body: String::from_utf8_lossy(&body).into_owned() });
            }
            Err(SendError::MaybeSent) if a.method != "GET" => {
                return Ok(Sent {
                    status: 504,
                    body: map(&[
                        ("code", "outcome-unknown".into()),
                        ("text", "the node was lost after it was asked; look at: spindledock history".into()),
                    ])
                    .to_string(),
                });
            }
            Err(_) => last = format!("{node} cannot be reached; name another node with --node"),
        }
    }
    Err(last)
}

fn code(status: u16) -> u8 {
    match status {
        200..=299 => 0,
        504 => 4,
        500..=599 | 429 => 3,
        _ => 1,
    }
}

enum Todo {
    Ask(Ask),
    Plan(String),
    Check(String),
}

fn file(args: &mut Arguments) -> Result<String, String> {
    let path: String = args.free_from_str().map_err(|_| "name a file; see --help".to_string())?;
    read_file(&path)
}

fn read_file(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}; name a file you can read"))
}

fn plan(args: &mut Arguments, what: &str) -> Result<Todo, String> {
    let mut heads = Vec::new();
    for (flag, head) in [("--base", "if-match"), ("--id", "x-change-id")] {
        if let Some(v) = args.opt_value_from_str::<_, String>(flag).map_err(|e| e.to_string())? {
            heads.push((head, v));
        }
    }
    let proposes = what == "plan" && args.contains("--propose");
    let mut text = |key: &'static str, must: bool| -> Result<String, String> {
        match args.opt_value_from_str::<_, String>(key).map_err(|e| e.to_string())? {
            Some(v) => Ok(v),
            None if must => Err(format!("{key} is missing; see --help")),
            None => Ok(String::new()),
        }
    };
    let mut a = match what {
        "check" => return Ok(Todo::Check(file(args)?)),
        "show" => Ask::get("/v1/config"),
        "plan" => match (proposes, text("--accept", false)?, text("--file", false)?) {
            (true, v, f) if v.is_empty() && f.is_empty() => {
                Ask::send("POST", "/v1/plan/propose", String::new())
            }
            (false, v, f) if !v.is_empty() && f.is_empty() => {
                Ask::send("POST", &format!("/v1/plan/accept/{v}"), String::new())
            }
            (false, v, f) if v.is_empty() && !f.is_empty() => return Ok(Todo::Plan(read_file(&f)?)),
            (false, _, _) => Ask::get("/v1/plan"),
            _ => return Err("give one of --propose, --accept and --file".into()),
        },
        "status" | "nodes" | "runners" | "history" | "local" => Ask::get(&format!("/v1/{what}")),
        "metrics" | "ready" => Ask::get(&format!("/{what}")),
        "apply" => Ask::send("PUT", "/v1/config", file(args)?),
        "patch" => Ask::send("PATCH", "/v1/config", file(args)?),
        "list" => Ask::send("PUT", "/v1/runners", file(args)?),
        "query" => {
            let sql: String = args.free_from_str().map_err(|_| "give one SELECT; see --help".to_string())?;
            Ask::send("POST", "/v1/query", sql)
        }
        "change" | "leaving" => {
            let id: String = args.free_from_str().map_err(|_| format!("{what} what? see --help"))?;
            match what {
                "change" => Ask::get(&format!("/v1/changes/{id}")),
                _ => Ask::send("POST", &format!("/v1/runners/{id}/leaving"), String::new()),
            }
        }
        "move" => {
            let body = map(&[
                ("service", text("--service", true)?.into()),
                ("model", text("--model", true)?.into()),
                ("from", text("--from", true)?.into()),
                ("to", text("--to", true)?.into()),
                ("want", text("--want", false)?.into()),
            ]);
            Ask::send("POST", "/v1/moves", body.to_string())
        }
        _ => return Err(format!("\"{what}\" is no command; see --help")),
    };
    a.heads = heads;
    Ok(Todo::Ask(a))
}

fn done(text: &str) -> u8 {
    println!("{text}");
    0
}

pub async fn run(mut args: Arguments) -> u8 {
    let json = args.contains("--json");
    let nodes = args.opt_value_from_str::<_, String>("--node").ok().flatten();
    let nodes = nodes.or_else(|| std::env::var("SPINDLEDOCK_NODE").ok()).unwrap_or_default();
    let mut list = Vec::new();
    for part in nodes.split(',').filter(|p| !p.is_empty()) {
        match part.parse::<SocketAddr>() {
            Ok(a) => list.push(a),
            Err(_) => {
                eprintln!("spindledock: --node \"{part}\" is not IP:PORT; give the admin address of a node");
                return 2;
            }
        }
    }
    let Ok(Some(what)) = args.subcommand() else {
        eprintln!("spindledock: name a command; see --help");
        return 2;
    };
    let todo = plan(&mut args, &what);
    let rest = args.finish();
    let todo = match todo {
        Ok(_) if !rest.is_empty() => Err(format!("{rest:?} is not known here; see --help")),
        other => other,
    };
    match todo {
        Err(why) => {
            eprintln!("spindledock: {why}");
            2
        }
        Ok(Todo::Plan(text)) => match super::offline::plan(&text) {
            Ok(tree) if json => done(&tree.to_string()),
            Ok(tree) => done(human(&tree).trim_end()),
            Err(bad) => super::offline::told(&bad),
        },
        Ok(Todo::Check(text)) => match read_text(&text) {
            Ok(c) => {
                println!(
                    "fine: {} services, {} models, {} adapters",
                    c.services.len(),
                    c.models.len(),
                    c.adapters.len()
                );
                0
            }
            Err(bad) => {
                for f in &bad {
                    eprintln!("{f}");
                }
                eprintln!("spindledock: {} fault(s)", bad.len());
                2
            }
        },
        Ok(Todo::Ask(a)) => match ask(&Pool::default(), &list, &a).await {
            Err(why) => {
                eprintln!("spindledock: {why}");
                3
            }
            Ok(sent) => {
                let tree = Tree::parse(&sent.body);
                match tree {
                    Ok(t) if !json => print!("{}", human(&t)),
                    _ => println!("{}", sent.body),
                }
                code(sent.status)
            }
        },
    }
}

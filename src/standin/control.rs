use super::runner::Runner;
use super::stock::Stock;
use crate::daemon::listener::serve_clients;
use crate::fleet::read::read_text;
use crate::http::answer::{AnswerBody, full_body};
use crate::http::client_connections::ClientConnections;
use crate::kernel::ids::Name;
use crate::kernel::time::BootClock;
use hyper::Response;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::Semaphore;

#[derive(Clone, PartialEq, Debug)]
pub enum Fault {
    None,
    Dark,
    Rubbish,
    Lie,
    Differ,
    Evict,
    /// Ends each stream within an event.
    Truncate,
    /// Turns each request away, but only after a while.
    LateRefusal,
}

impl Fault {
    fn named(name: &str) -> Fault {
        match name {
            "dark" => Fault::Dark,
            "rubbish" => Fault::Rubbish,
            "lie" => Fault::Lie,
            "differ" => Fault::Differ,
            "evict" => Fault::Evict,
            "truncate" => Fault::Truncate,
            "late-refusal" => Fault::LateRefusal,
            _ => Fault::None,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Knobs {
    pub fault: Fault,
    pub token_us: u64,
    pub plain_us: u64,
    pub prompt_tokens: u64,
    /// The pause in the midst of each event; 0: an event leaves in one piece.
    pub split_us: u64,
    /// Streams have neither a length nor chunks: they end with their connection.
    pub unframed: bool,
}

pub fn set(runner: &Arc<Runner>, body: &[u8]) -> Response<AnswerBody> {
    let mut knobs = runner.knobs.lock().unwrap();
    let what = String::from_utf8_lossy(body).trim().to_string();
    knobs.fault = Fault::named(&what);
    if what == "leaving" {
        runner.stock.lock().unwrap().leaving = true;
    }
    drop(knobs);
    runner.note(&format!("fault what={what}"));
    Response::new(full_body("ok"))
}

pub const HELP: &str = "\
spindledock-standin runner: a stand-in runner that keeps to docs/interface.md
  --instance NAME --address IP:PORT   who and where it is
  --catalog FILE        a fleet configuration: weights and load times
  --sort assistant|plain
  --room-mb N --adapters N --slots N  what it has room for
  --token-us N --plain-us N           how fast it answers
  --split-us N          the pause in the midst of each event (0: none)
  --unframed            its streams end with their connection, without a length or chunks
  --record FILE         its own record, one line an event
POST /fault with dark, rubbish, lie, differ, evict, truncate, late-refusal, leaving or none
breaks it on purpose.";

pub async fn run(mut args: Arguments) -> Result<(), String> {
    let told = |e: pico_args::Error| format!("{e}; see --help");
    let instance: String = args.value_from_str("--instance").map_err(told)?;
    let addr: SocketAddr = args.value_from_str("--address").map_err(told)?;
    let sort: String = args.opt_value_from_str("--sort").map_err(told)?.unwrap_or("assistant".into());
    let file: Option<String> = args.opt_value_from_str("--catalog").map_err(told)?;
    let mut num = |key: &'static str, dflt: u64| -> Result<u64, String> {
        Ok(args.opt_value_from_str(key).map_err(told)?.unwrap_or(dflt))
    };
    let (room, adapters, slots) = (num("--room-mb", 80_000)?, num("--adapters", 8)?, num("--slots", 8)?);
    let (token_us, plain_us) = (num("--token-us", 20_000)?, num("--plain-us", 5000)?);
    let (split_us, unframed) = (num("--split-us", 0)?, args.contains("--unframed"));
    let record: Option<String> = args.opt_value_from_str("--record").map_err(told)?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("{rest:?} is not known; see --help"));
    }
    let text = match &file {
        Some(f) => std::fs::read_to_string(f).map_err(|e| format!("{f}: {e}; name a readable file"))?,
        None => "{}".to_string(),
    };
    let catalog =
        read_text(&text).map_err(|bad| bad.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("\n"))?;
    let open = |p: &String| std::fs::OpenOptions::new().create(true).append(true).open(p);
    let record =
        record.as_ref().map(open).transpose().map_err(|e| format!("--record: {e}; name a writable file"))?;
    let runner = Arc::new(Runner {
        stock: Mutex::new(Stock::new(Name(instance), catalog, room, adapters, slots)),
        knobs: Mutex::new(Knobs {
            fault: Fault::None,
            token_us,
            plain_us,
            prompt_tokens: 200,
            split_us,
            unframed,
        }),
        gate: Arc::new(Semaphore::new(slots as usize)),
        warm: Mutex::default(),
        assistant: sort == "assistant",
        record: Mutex::new(record),
    });
    let socket =
        tokio::net::TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}; free the port"))?;
    runner.note("started");
    let me = runner.clone();
    let connections = ClientConnections::new(Arc::new(BootClock));
    serve_clients(socket, Arc::new(move |order| Box::pin(me.clone().answer(order))), connections).await;
    Ok(())
}

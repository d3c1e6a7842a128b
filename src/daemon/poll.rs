use crate::fleet::runner::{Report, Runner};
use crate::gate::Table;
use crate::http::pool::{Miss, Pool, open};
use crate::json::Tree;
use crate::json::tree::map;
use crate::kernel::time::Clock;
use crate::msg::RunnerOrder;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::sync::Arc;
use std::time::Duration;

const DUE: Duration = Duration::from_millis(1000);

fn order(method: &str, path: &str, r: &Runner, body: String) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", r.addr.to_string())
        .header("x-target-instance", r.instance.0.as_str())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("a valid order")
}

pub async fn report(pool: &Pool, r: &Runner) -> Option<Report> {
    let order = order("GET", "/spindle/report", r, String::new());
    let (status, body) = pool.whole(r.addr, order, DUE, open()).await.ok()?;
    if status != 200 {
        return None;
    }
    let tree = Tree::parse(std::str::from_utf8(&body).ok()?).ok()?;
    Report::read(&tree).filter(|rep| rep.instance == r.instance)
}

pub async fn drive(pool: &Pool, clock: Arc<dyn Clock>, o: &RunnerOrder) -> u16 {
    let kind = if o.adapter { "adapter" } else { "model" };
    let body = map(&[
        ("order", o.order.to_string().into()),
        ("term", o.term.0.into()),
        ("name", o.name.0.as_str().into()),
        ("kind", kind.into()),
    ]);
    let path = if o.load { "/spindle/load" } else { "/spindle/unload" };
    let due = o.due;
    let check = Box::new(move || clock.now() < due);
    match pool.whole(o.runner.addr, order("POST", path, &o.runner, body.to_string()), DUE, check).await {
        Ok((status, _)) => status,
        Err(Miss::NotSent | Miss::Barred) => 499,
        Err(Miss::Unsure) => 0,
    }
}

pub async fn tells(
    table: Arc<Table>,
    clock: Arc<dyn Clock>,
    seen: Arc<dyn Fn() -> Vec<crate::http::sender::Kept> + Send + Sync>,
    hand: super::driver::Hand,
) {
    let mut tick = tokio::time::interval(Duration::from_millis(250));
    let mut last = None;
    loop {
        tick.tick().await;
        let mut tell = table.tell(clock.now());
        if let (at, Some(t)) = table.trial() {
            let done: Option<(_, crate::msg::Rehearsal)> = last.take().filter(|l: &(_, _)| l.0 == at);
            let row = match done {
                Some((_, r)) => r,
                None => crate::gate::rehearse::rehearse(&table, &*clock, &t, &seen()),
            };
            tell.rehearsal = Some(row.clone());
            last = Some((at, row));
        }
        hand.feed(crate::msg::Event::RouterState(Box::new(tell)));
    }
}

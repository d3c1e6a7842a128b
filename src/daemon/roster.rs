use super::input::Hand;
use crate::fleet::runner::Runner;
use crate::http::pool::{Pool, open};
use crate::msg::Event;
use crate::seam::{RunnerList, Sides};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const DUE: Duration = Duration::from_millis(1500);
const PAGES: usize = 64;

/// Asks for the list of runners while this node holds the duty to.
pub struct Roster {
    side: Arc<dyn RunnerList>,
    pool: Arc<Pool>,
    hand: Hand,
    on: AtomicBool,
}

impl Roster {
    pub fn new(sides: &Sides, pool: Arc<Pool>, hand: Hand) -> Option<Arc<Roster>> {
        let side = sides.list.clone()?;
        let r = Arc::new(Roster { side, pool, hand, on: AtomicBool::new(false) });
        tokio::spawn(r.clone().run());
        Some(r)
    }

    pub fn switch(&self, on: bool) {
        self.on.store(on, Ordering::SeqCst);
    }

    async fn run(self: Arc<Roster>) {
        let mut tick = tokio::time::interval(self.side.pause());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            if !self.on.load(Ordering::SeqCst) {
                continue;
            }
            if let Some(list) = self.whole().await {
                self.hand.feed(Event::Listed(list));
            }
        }
    }

    async fn whole(&self) -> Option<Vec<Runner>> {
        let mut all = Vec::new();
        let mut page = None;
        for _ in 0..PAGES {
            let call = self.side.ask(page.as_deref());
            let (status, body) = self.pool.whole(self.side.addr(), call, DUE, open()).await.ok()?;
            if status != 200 {
                log::warn!(event = "list-refused", status = status; "");
                return None;
            }
            let (rows, next) = self.side.read(&body)?;
            all.extend(rows);
            if next.is_none() {
                break;
            }
            page = next;
        }
        Some(all)
    }
}

use super::input::Hand;
use crate::fleet::runner::Runner;
use crate::http::pool::{Pool, open};
use crate::kernel::time::Clock;
use crate::msg::Event;
use crate::protocol::{Protocols, RunnerListProtocol};
use crate::runner_list::messages::RunnerListing;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

const DUE: Duration = Duration::from_millis(1500);
const PAGES: usize = 64;

/// Asks for the list of runners: again and again while this node holds the duty to, else when it is told to.
pub struct Roster {
    side: Arc<dyn RunnerListProtocol>,
    pool: Arc<Pool>,
    hand: Hand,
    clock: Arc<dyn Clock>,
    on: AtomicBool,
    wanted: Notify,
}

impl Roster {
    pub fn new(
        protocols: &Protocols,
        pool: Arc<Pool>,
        hand: Hand,
        clock: Arc<dyn Clock>,
    ) -> Option<Arc<Roster>> {
        let side = protocols.list.clone()?;
        let r =
            Arc::new(Roster { side, pool, hand, clock, on: AtomicBool::new(false), wanted: Notify::new() });
        tokio::spawn(r.clone().run());
        Some(r)
    }

    pub fn switch(&self, on: bool) {
        self.on.store(on, Ordering::SeqCst);
    }

    /// Reads the list once, soon.
    pub fn read_now(&self) {
        self.wanted.notify_one();
    }

    async fn run(self: Arc<Roster>) {
        let mut tick = tokio::time::interval(self.side.pause());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    if !self.on.load(Ordering::SeqCst) {
                        continue;
                    }
                }
                _ = self.wanted.notified() => {}
            }
            let asked = self.clock.now();
            if let Some(runners) = self.whole().await {
                self.hand.feed(Event::RunnersListed(RunnerListing { runners, requested_at: asked }));
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

//! Reads the list of runners from the service that keeps it, and passes it to the node.

use super::input::NodeHandle;
use crate::fleet::runner::Runner;
use crate::http::pool::{Pool, always_allowed};
use crate::kernel::time::Clock;
use crate::msg::Event;
use crate::protocol::{Protocols, RunnerListProtocol};
use crate::runner_list::messages::RunnerListing;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// The time limit of reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The most pages of one reading.
const PAGES_MAX: usize = 64;

/// Reads the list of runners: periodically while this node holds the duty, otherwise on demand.
pub struct RunnerListPoller {
    side: Arc<dyn RunnerListProtocol>,
    pool: Arc<Pool>,
    node: NodeHandle,
    clock: Arc<dyn Clock>,
    is_enabled: AtomicBool,
    read_requested: Notify,
}

impl RunnerListPoller {
    /// Starts the poller; `None` if the settings name no list of runners.
    pub fn new(
        protocols: &Protocols,
        pool: Arc<Pool>,
        node: NodeHandle,
        clock: Arc<dyn Clock>,
    ) -> Option<Arc<RunnerListPoller>> {
        let side = protocols.list.clone()?;
        let r = Arc::new(RunnerListPoller {
            side,
            pool,
            node,
            clock,
            is_enabled: AtomicBool::new(false),
            read_requested: Notify::new(),
        });
        tokio::spawn(r.clone().run());
        Some(r)
    }

    /// Switches the periodic reading on or off.
    pub fn set_enabled(&self, is_enabled: bool) {
        self.is_enabled.store(is_enabled, Ordering::SeqCst);
    }

    /// Requests one reading of the list, as soon as possible.
    pub fn read_now(&self) {
        self.read_requested.notify_one();
    }

    async fn run(self: Arc<RunnerListPoller>) {
        let mut tick = tokio::time::interval(self.side.pause());
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    if !self.is_enabled.load(Ordering::SeqCst) {
                        continue;
                    }
                }
                _ = self.read_requested.notified() => {}
            }
            let asked = self.clock.now();
            if let Some(runners) = self.read_all_pages().await {
                self.node.send(Event::RunnersListed(RunnerListing { runners, requested_at: asked }));
            }
        }
    }

    /// Reads all pages of the list; `None` if a page can't be read.
    async fn read_all_pages(&self) -> Option<Vec<Runner>> {
        let mut all = Vec::new();
        let mut page = None;
        for _ in 0..PAGES_MAX {
            let call = self.side.ask(page.as_deref());
            let (status, body) =
                self.pool.fetch(self.side.addr(), call, PAGE_TIMEOUT, always_allowed()).await.ok()?;
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

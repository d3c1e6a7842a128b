use crate::gate::Order;
use crate::kernel::ids::Name;
use std::collections::VecDeque;
use std::sync::Mutex;

const RECENT_REQUESTS_MAX: usize = 256;

#[derive(Clone, Debug)]
pub struct RecentRequest {
    pub service: Name,
    pub model: Name,
    pub adapter: Name,
    pub host: String,
    pub path: String,
    pub body_kb: u64,
}

#[derive(Default)]
pub struct RecentRequests {
    rows: Mutex<VecDeque<RecentRequest>>,
}

impl RecentRequests {
    pub fn add(&self, order: &Order, host: &str, path: &str, body_bytes: usize) {
        let mut rows = self.rows.lock().unwrap();
        rows.push_back(RecentRequest {
            service: order.service.clone(),
            model: Name(order.model.to_string()),
            adapter: Name(order.adapter.to_string()),
            host: host.to_string(),
            path: path.to_string(),
            body_kb: body_bytes.div_ceil(1024) as u64,
        });
        if rows.len() > RECENT_REQUESTS_MAX {
            rows.pop_front();
        }
    }

    pub fn rows(&self) -> Vec<RecentRequest> {
        self.rows.lock().unwrap().iter().cloned().collect()
    }
}

use crate::gate::RequestSpec;
use crate::kernel::ids::Name;
use std::collections::VecDeque;
use std::sync::Mutex;

const KEEP: usize = 256;

#[derive(Clone, Debug)]
pub struct Kept {
    pub service: Name,
    pub model: Name,
    pub adapter: Name,
    pub host: String,
    pub path: String,
    pub kb: u64,
}

#[derive(Default)]
pub struct Seen {
    rows: Mutex<VecDeque<Kept>>,
}

impl Seen {
    pub fn add(&self, order: &RequestSpec, host: &str, path: &str, bytes: usize) {
        let mut rows = self.rows.lock().unwrap();
        rows.push_back(Kept {
            service: order.service.clone(),
            model: Name(order.model.to_string()),
            adapter: Name(order.adapter.to_string()),
            host: host.to_string(),
            path: path.to_string(),
            kb: bytes.div_ceil(1024) as u64,
        });
        if rows.len() > KEEP {
            rows.pop_front();
        }
    }

    pub fn rows(&self) -> Vec<Kept> {
        self.rows.lock().unwrap().iter().cloned().collect()
    }
}

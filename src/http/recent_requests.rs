//! The latest requests that a router admitted. A candidate configuration is rehearsed against them, and the routes in
//! use are reported from them (see [`crate::gate::rehearse`]).

use crate::gate::RequestSpec;
use crate::kernel::ids::Name;
use std::collections::VecDeque;
use std::sync::Mutex;

/// How many requests are kept.
const MAX_RECENT_REQUESTS: usize = 256;

#[derive(Clone, Debug)]
/// What is kept of one request.
pub struct RecentRequest {
    /// The service that the request was routed to.
    pub service: Name,
    /// The model that it names; empty for plain services.
    pub model: Name,
    /// The adapter that it names, empty if none.
    pub adapter: Name,
    /// The value of its `Host` header.
    pub host: String,
    /// The path of its target, without the query.
    pub path: String,
    /// The size of its body in KiB, rounded up.
    pub body_kb: u64,
}

/// The latest requests of a router, oldest first.
#[derive(Default)]
pub struct RecentRequests {
    rows: Mutex<VecDeque<RecentRequest>>,
}

impl RecentRequests {
    /// Adds a request with a body of `body_bytes`; the oldest one is dropped if there are too many.
    pub fn add(&self, order: &RequestSpec, host: &str, path: &str, body_bytes: usize) {
        let mut rows = self.rows.lock().unwrap();
        rows.push_back(RecentRequest {
            service: order.service.clone(),
            model: Name(order.model.to_string()),
            adapter: Name(order.adapter.to_string()),
            host: host.to_string(),
            path: path.to_string(),
            body_kb: body_bytes.div_ceil(1024) as u64,
        });
        if rows.len() > MAX_RECENT_REQUESTS {
            rows.pop_front();
        }
    }

    /// A copy of all requests that are kept.
    pub fn rows(&self) -> Vec<RecentRequest> {
        self.rows.lock().unwrap().iter().cloned().collect()
    }
}

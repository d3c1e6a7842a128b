//! Admission and load balancing on a router.
//!
//! A [`Balancer`] stands for one service: it admits requests (`admission`), picks a runner for each (`nominate`), queues
//! what cannot be sent yet (`inbox`, `waiters`, `wait`) and limits retries (`budget`). [`BalancerTable`] holds the
//! balancers, the routes and the limits of the router, and applies what the distribution of the configuration delivers.
//! The state machine of a single request is in `forwarding`; the connections are in `http`.

pub mod admission;
pub mod budget;
pub mod core;
pub mod current_routes;
pub mod health;
pub mod held;
pub mod inbox;
pub mod kept;
pub mod learn;
pub mod lease;
pub mod nominate;
pub mod order;
pub mod pace;
pub mod prompt_size;
pub mod readmission;
pub mod refusal;
pub mod rehearse;
pub mod sweep;
pub mod table;
pub mod tell;
pub mod wait;
mod waiters;
pub use self::core::Balancer;
pub use order::{Refusal, RequestSpec, RoutingDecision};
pub use table::BalancerTable;

//! Routes requests to model runners, and keeps the routes, the runners and the placement of models consistent
//! over all routers.
//!
//! Controllers replicate the configuration along a chain (`chain`, `membership`); routers receive it
//! (`distribution`), accept requests (`http`, `gate`) and forward them (`forwarding`, `transfer`).
//! `placement` decides which runner holds which model, `rollout` rehearses configurations, `constraints`
//! enforces quotas. All of it runs as components of a deterministic node (`kernel`), which `daemon` drives in
//! a real process, `sim` and `hollow` in a simulated fleet and `explore` step by step.

pub mod chain;
pub mod cli;
pub mod constraints;
pub mod daemon;
pub mod distribution;
pub mod explore;
pub mod fleet;
pub mod forwarding;
pub mod gate;
pub mod hollow;
pub mod http;
pub mod json;
pub mod kernel;
pub mod launch;
pub mod membership;
pub mod msg;
pub mod placement;
pub mod platform;
pub mod protocol;
pub mod query;
pub mod relay;
pub mod rollout;
pub mod router_report;
pub mod runner_list;
pub mod sim;
pub mod soak;
pub mod standin;
pub mod transfer;
pub mod wire;

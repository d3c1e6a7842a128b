//! Rollout of configuration changes: a changed configuration is delivered to the routers and rehearsed by
//! them before the chain commits it. Also the routers' reports, from which rollout and placement learn about
//! them.

pub mod candidate;
pub mod router_reports;
pub use candidate::Rollout;

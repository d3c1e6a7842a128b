pub mod candidate;
pub mod router_reports;
pub use candidate::Rollout;

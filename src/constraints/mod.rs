//! Constraints that are counted over all nodes: the quotas of tenants.
//!
//! Controllers own the counters (`owner`), under an authority lease (`authority`). Routers ask them for tokens
//! (`client`) and hand those to requests (`shares`). See `docs/constraints.md`.
#![deny(missing_docs)]

pub mod answers;
pub mod authority;
pub mod bucket;
pub mod client;
pub mod counters;
pub mod flight;
pub mod handover;
pub mod messages;
pub mod owner;
pub mod ownership;
pub mod settings;
pub mod shares;
pub mod tenant_share;

pub use settings::QuotaSettings;

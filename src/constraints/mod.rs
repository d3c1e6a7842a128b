//! Limits that are enforced across all nodes: the quotas of tenants.
//!
//! Controllers own the token buckets (`owner`), under an authority lease (`authority`). Routers acquire tokens from them
//! (`client`) and spend them on requests (`shares`). See `docs/constraints.md`.
//!
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

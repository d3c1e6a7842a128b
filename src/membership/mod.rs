//! Membership: which nodes there are, which of them are live, and which runners are marked as leaving.
//!
//! A gossip protocol among routers and controllers. Each node is watched by a few others, chosen by rendezvous
//! hashing, which ping it. Changes spread as gossip between a node and those it watches or is watched by; digests
//! find what was missed. The chain (`chain`) has its own failure detector; it learns from membership which
//! controllers there are, and of newer views.

mod exchange;
pub mod marks;
pub mod messages;
pub mod rendezvous;
pub mod service;
pub mod table;
pub use service::Membership;

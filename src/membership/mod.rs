//! Membership: which nodes there are, which are live, and which runners are marked as leaving.

mod exchange;
pub mod marks;
pub mod messages;
pub mod rendezvous;
pub mod service;
pub mod table;
pub use service::Membership;

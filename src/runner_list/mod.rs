//! Reading the platform's list of runners: which controller reads it, and how the news that a runner is leaving
//! spreads.
//!
//! The list itself is requested by the daemon, and its rows reach the chain through `placement`.
#![deny(missing_docs)]

pub mod messages;
pub mod reader;
pub mod timing;

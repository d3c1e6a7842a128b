//! Which controller reads the platform's list of runners, and how its word that a runner is leaving gets around.
#![deny(missing_docs)]

pub mod messages;
pub mod reader;
pub mod timing;

//! The deterministic core of a node, and the services that its drivers share.
//!
//! A [`node`] hands each [`event`] to its [`component`]s and returns the effects. [`input_queue`] and
//! [`lanes`] order the inputs before it, [`hold`] keeps its messages back until the disk writes that they
//! depend on are synced, [`disk`], [`folder`], [`log_file`] and [`log_format`] are its durable log.

pub mod change_id;
pub mod component;
pub mod disk;
pub mod event;
pub mod fault;
pub mod folder;
pub mod hold;
pub mod ids;
pub mod input_queue;
pub mod journal;
pub mod lanes;
pub mod log_file;
pub mod log_format;
pub mod node;
pub mod rand;
pub mod registry;
pub mod step_times;
pub mod time;

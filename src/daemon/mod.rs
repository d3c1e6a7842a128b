//! The process around a node: settings, sockets, threads, disk, signals and shutdown.
//!
//! A node ([`crate::kernel::node`]) is a state machine without I/O. [`driver`] runs it on a thread of its own and carries
//! out its effects; [`run`] assembles the whole process. The simulator and the explorer drive the same nodes without
//! this module.

pub mod assemble;
pub mod command_line;
pub mod config;
pub mod disk_writer;
pub mod driver;
mod effect_handler;
pub mod effects;
pub mod input;
pub mod links;
pub mod listener;
pub mod logs;
pub mod machine_limits;
pub mod node_io;
pub mod panics;
pub mod peer_queue;
pub mod reload;
pub mod restore;
mod router_tasks;
pub mod run;
pub mod runner_calls;
pub mod runner_list_poller;
pub mod signals;
pub mod status;
pub mod stop;
pub mod ticks;
pub mod traffic;

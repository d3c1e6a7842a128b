//! An explorer for the agreement of the controllers.
//!
//! It drives the real state machines of the chain (view, vote, lease, join, leave, founding) behind the real disk
//! gate through every order of the steps of a scope, checks invariants in each state, and prints the shortest
//! trace that breaks one. A state is a value: replicas, messages under way, disks, time and what was seen.

mod apply;
pub mod cluster;
pub mod command;
mod delivery;
pub mod digest;
pub mod flight;
pub mod history;
pub mod invariants;
mod memory_disk;
pub mod replica;
pub mod schedule;
pub mod scope;
pub mod search;
pub mod step;
pub mod trace;
pub mod walk;

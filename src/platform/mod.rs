//! Translates between the users' platform and this project: settings, configurations, tenants, the list of runners, and
//! the protocols of clients, runners and operators.
//!
//! The names that the platform gives to headers, fields and paths occur in this folder only. It implements the traits of
//! [`crate::protocol`] and is in force with `--platform`.

pub mod caller;
pub mod config;
pub mod config_size;
pub mod list;
pub mod merge;
pub mod operator;
pub mod precondition;
pub mod runner;
pub mod settings;
pub mod tenants;

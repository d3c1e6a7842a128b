//! The replicated state of a fleet, and the documents that describe it.
//!
//! [`state`] is what the controllers agree on; [`fold`] and [`fold_plan`] apply committed changes to it.
//! [`config`] is the configuration, read by [`read`], checked by [`check`] and written by [`show`]. [`slice`]
//! cuts the state into the parts that routers and the placement duty receive.

pub mod change;
pub mod check;
pub mod config;
pub mod defaults;
pub mod duty;
pub mod fold;
pub mod fold_plan;
pub mod former;
pub mod holdings;
pub mod ledger;
pub mod named;
pub mod outcome;
pub mod plan;
pub mod read;
pub mod routes;
pub mod runner;
pub mod service;
pub mod serving;
pub mod show;
pub mod size_limits;
pub mod slice;
pub mod state;
pub mod tenant_format;
pub mod tenants;
pub use config::FleetConfig;
pub use state::FleetState;

//! A randomized run over real processes: a schedule of signals, faults and changes drawn from a seed, beside clients
//! that keep using their connections; judged by what clients, runners and the operator wrote down.
#![deny(missing_docs)]

pub mod change_draw;
pub mod checks;
pub mod clients;
pub mod config_change;
pub mod deployments;
pub mod director;
pub mod episodes;
pub mod final_state;
pub mod operator;
pub mod options;
pub mod report;
pub mod run;
pub mod schedule;
pub mod slow_socket;
pub mod step;
pub mod trouble;

pub use options::SoakOptions;
pub use report::Report;
pub use run::soak;

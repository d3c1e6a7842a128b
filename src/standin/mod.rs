pub mod caller;
pub mod control;
pub mod raw;
pub mod runner;
pub mod script;
pub mod stock;
pub mod tally;

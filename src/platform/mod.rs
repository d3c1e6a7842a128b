pub mod caller;
pub mod config;
pub mod list;
pub mod operator;
pub mod precondition;
pub mod runner;
pub mod settings;

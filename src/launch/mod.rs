pub mod bench;
pub mod deployment;
pub mod judge;
pub mod ports;
pub mod procs;
pub mod trial;

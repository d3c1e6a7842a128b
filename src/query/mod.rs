pub mod eval;
pub mod select;
pub mod tables;
pub use select::run;

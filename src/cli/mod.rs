pub mod offline;
pub mod print;
pub mod run;

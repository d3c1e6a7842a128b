//! JSON as the product reads and writes it.

pub mod number;
pub mod parse;
pub mod read;
pub mod tree;
pub use read::Reader;
pub use tree::Tree;

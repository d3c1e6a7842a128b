//! JSON: parsing, trees, exact numbers, and reading a document's fields with faults for its author.

pub mod number;
pub mod parse;
pub mod read;
pub mod tree;
pub use read::Reader;
pub use tree::Tree;

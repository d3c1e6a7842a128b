//! Distribution of committed state from the tail of the chain, by relay nodes, to all routers.

pub mod delta;
pub mod history;
pub mod messages;
mod pace;
pub mod reader;
pub mod relay_node;
pub mod serving_lease;
pub mod subscribers;
pub use reader::TopicReader;
pub use relay_node::Distribution;

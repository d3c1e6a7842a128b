//! Distribution of committed state from the tail of the chain to all routers, by way of relay nodes.
//!
//! Each topic has a relay node in each zone, which asks the tail; the other routers of the zone ask the relay
//! node. [`reader`] keeps what a node has received, [`subscribers`] pushes new versions to those that asked
//! recently, [`serving_lease`] lets routers continue while no controller can be reached.

pub mod delta;
pub mod history;
pub mod messages;
mod pace;
pub mod reader;
pub mod relay_node;
pub mod serving_lease;
pub mod subscribers;
mod topic_name;
pub use reader::TopicReader;
pub use relay_node::Distribution;

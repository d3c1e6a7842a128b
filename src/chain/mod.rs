//! The replicated control state: a chain of controllers, and the agreement on the view that orders it.
//!
//! Changes enter at the head, are synced by each member in turn and are committed when the tail has synced
//! them. Reads are answered by the tail, under a lease that a majority of the voters grants.

pub mod acceptor;
pub mod adoption;
pub mod adoption_queue;
pub mod change_queue;
pub mod core;
pub mod founding;
pub mod heartbeat;
pub mod installation;
pub mod join;
pub mod lease;
pub mod leaving;
pub mod ledger_transfer;
pub mod messages;
pub mod own_change;
pub mod publish;
pub mod read_index;
pub mod recovery;
pub mod replicate;
pub mod replication_log;
pub mod reply;
pub mod serving_leases;
pub mod show;
pub mod version_history;
pub mod view;
pub mod view_change;
pub use self::core::Chain;

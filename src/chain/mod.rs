//! The replicated control state: chain replication among the controllers, with the chain's membership ("view")
//! decided by a majority of voters.
//!
//! Changes enter at the head, are synced to disk by each member in turn and are committed once the tail has synced
//! them. The tail answers reads under a lease granted by a majority of the voters. A change of view is agreed in
//! Paxos style: `view_change` is the proposer, `acceptor` the voter. `change_queue` takes operator calls at the
//! head, `serving_leases` decides when a committed change may be acknowledged. The configuration itself and how
//! changes apply to it are in `fleet`; routers get it through `distribution`.

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
pub mod operator_reads;
pub mod own_change;
pub mod publish;
pub mod read_index;
pub mod recovery;
pub mod replicate;
pub mod replication_log;
pub mod reply;
pub mod serving_leases;
pub mod version_history;
pub mod view;
pub mod view_change;
pub mod votes;
pub use self::core::Chain;

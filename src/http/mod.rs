//! HTTP/1.1 on both sides of a router: connections from clients, connections to runners, and the forwarding between
//! them; also the admin API that operators call on every node.
//!
//! The sockets that accept clients and operators are in [`crate::daemon::listener`]; the state machine of one forwarded
//! request is in [`crate::forwarding`].

pub mod admin;
pub mod admin_answers;
mod admin_call;
pub mod answer;
mod answer_buffer;
pub mod attempt;
pub mod body;
pub mod client;
pub mod client_connections;
pub mod client_request;
pub mod client_stream;
pub mod connection;
mod connection_state;
pub mod exchange;
pub mod forward;
pub mod guard;
mod linger;
pub mod memory_account;
pub mod memory_ledger;
pub mod native;
pub mod pool;
pub mod quota;
pub mod readmission;
pub mod receive;
pub mod recent_requests;
pub mod request_body;
mod request_head;
pub mod request_service;
pub mod served_body;

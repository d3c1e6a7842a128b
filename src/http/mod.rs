//! HTTP/1.1 on both sides: connections from clients and operators, connections to runners, and the way between.

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod client;
pub mod client_stream;
pub mod connection;
pub mod exchange;
pub mod forward;
pub mod guard;
mod linger;
pub mod native;
pub mod pool;
pub mod quota;
pub mod recent_requests;
pub mod request_service;
pub mod served_body;

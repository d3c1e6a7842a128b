//! Event streams and their transfer between runners, without I/O.
//!
//! `event_buffer` splits a body into events, `event_boundary` tells where a stream may end, `continuation` decides whether an
//! event continues a stream, and `handover` moves a running stream. `forwarding` drives them.

pub mod continuation;
pub mod event_boundary;
pub mod event_buffer;
pub mod handover;
pub use handover::Handover;

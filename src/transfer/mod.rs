pub mod continuation;
pub mod event_boundary;
pub mod event_buffer;
pub mod handover;
pub use handover::Handover;

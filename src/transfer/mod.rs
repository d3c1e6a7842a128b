pub mod continuation;
pub mod handover;
pub mod tape;
pub use handover::Handover;

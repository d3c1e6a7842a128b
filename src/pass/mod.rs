pub mod failure;
pub mod legs;
pub mod resume;
pub mod ride;
pub mod shift;
pub mod standby;
pub use ride::{In, Out, Ride};

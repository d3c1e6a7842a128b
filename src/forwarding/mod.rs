pub mod attempt;
pub mod failure;
pub mod migration;
pub mod request;
pub mod resume;
pub mod standby;
pub use request::{AnswerEnd, In, Out, RequestFlow};

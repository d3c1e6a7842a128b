//! The state machine that forwards one request to runners and its answer to the client.
//!
//! [`RequestFlow`] takes a [`FlowEvent`] and returns the [`FlowAction`]s to perform. It does no I/O: `http` and the simulator
//! perform the actions. It takes runners, queueing and retry credit from a `gate::Balancer`. How the stream of one runner
//! is replaced by that of another is in `resume` (after a failure), `standby` (a silent runner) and `migration` (a planned
//! move, with `transfer`).

pub mod answer_end;
pub mod attempt;
pub mod decision;
pub mod events;
pub mod failure;
pub mod migration;
pub mod move_start;
pub mod readmit;
pub mod request;
pub mod resume;
pub mod role;
pub mod standby;
pub mod tick;
pub use answer_end::AnswerEnd;
pub use request::{FlowAction, FlowEvent, RequestFlow};

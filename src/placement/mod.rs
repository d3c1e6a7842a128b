//! Placement of models and adapters on runners.
//!
//! One controller at a time holds the placement duty under a term. It polls the runners for reports, collects
//! what routers report as wanted and used, decides which names (models and adapters) are loaded where, and
//! sends the runners orders. Three kinds of changes are made:
//!
//! - small decisions, one runner at a time, for names that requests wait for ([`decisions`],
//!   [`decision_round`], [`runner_choice`], [`job`]);
//! - plans of several stages, which the chain records before they are executed ([`proposals`],
//!   [`plan_building`], [`plan_rehearsal`], [`plan_execution`]);
//! - moves of running streams between two runners ([`move_planning`], [`move_execution`]).
//!
//! Routers are told the runners' holdings ([`holdings_push`]) and send wants back ([`placement_client`]).

pub mod backlog;
pub mod component;
pub mod decision_plan;
pub mod decision_round;
pub mod decision_state;
pub mod decisions;
pub mod duty_assignment;
pub mod estimates;
pub mod free_room;
pub mod holdings_push;
pub mod job;
pub mod layout;
pub mod load_backoff;
pub mod move_check;
pub mod move_execution;
pub mod move_planning;
pub mod order_counts;
pub mod order_sending;
pub mod order_table;
pub mod pending_orders;
pub mod placement_client;
pub mod plan_building;
pub mod plan_execution;
pub mod plan_input;
pub mod plan_rehearsal;
pub mod proposals;
pub mod replica_capacity;
pub mod report_polling;
pub mod runner_choice;
pub mod runners;
pub mod state;
pub mod store_budget;
pub mod usage;
pub mod wanted_names;
pub mod withdrawn_names;
pub use state::Placement;

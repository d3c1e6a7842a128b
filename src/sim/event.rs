//! The events of the simulated fleet: what [`World`] queues by time and carries out one at a time.

use super::world::World;
use crate::fleet::holdings::UnmetDemand;
use crate::forwarding::FlowEvent;
use crate::gate::{Balancer, RoutingDecision};
use crate::kernel::ids::*;
use crate::msg::Envelope;
use crate::runner_list::messages::RunnerListing;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A balancer's routing decision for a waiting request, on its way to that request.
pub struct Woken {
    /// The index of the router in `World::nodes`.
    pub place: usize,
    /// The start of the router that the request belongs to.
    pub life: u64,
    /// The request's number in `World::requests`.
    pub request: u64,
    /// The balancer that the request waits at; it gets the slot back if the request has ended.
    pub balancer: Arc<Mutex<Balancer>>,
    /// The model that the request asks for.
    pub model: String,
    /// What the balancer decided.
    pub plan: RoutingDecision,
}

/// Demand for a model or adapter that no staying runner holds, after the index and `life` of the router that noticed it.
pub type Sought = (usize, u64, UnmetDemand);
/// An action of the simulator or a test that runs at a set time.
pub type Deed = Box<dyn FnOnce(&mut World)>;

/// An event in the queue of a [`World`].
///
/// `place` is a node's index in `World::nodes`, `runner` as a number a runner's index in `World::runners`. `life` counts
/// the starts of that node or runner; an event that was meant for an earlier start has no effect.
pub enum Event {
    /// The periodic tick of a node.
    Tick { place: usize, life: u64 },
    /// The part of a tick in which a node does its duties; it can be queued behind more urgent inputs.
    Work { place: usize, life: u64 },
    /// A message between nodes arrives at the address `to`.
    Envelope { to: SocketAddr, letter: Box<Envelope> },
    /// A node's poll of a runner reaches the runner.
    Looked { place: usize, life: u64, runner: Name },
    /// A node's disk has finished a write batch and all before it; `upto` is its number, 0 if the write failed.
    Synced { place: usize, life: u64, upto: u64 },
    /// The answer to a node's poll of a runner; `None` if the runner could not be reached.
    Reported {
        place: usize,
        life: u64,
        runner: Name,
        report: Option<Box<crate::fleet::runner::RunnerReport>>,
    },
    /// A router reports its state to its own node, periodically.
    Tell { place: usize, life: u64 },
    /// The status with which an order to a runner ended, at the node that sent it; 0 if there was no answer.
    Driven { place: usize, life: u64, order: OrderId, status: u16 },
    /// An input of a request that a router forwards.
    RequestFlow { place: usize, life: u64, request: u64, ev: Box<FlowEvent> },
    /// A router sends an attempt of a request to the runner that was chosen for it.
    Send { place: usize, life: u64, request: u64, attempt: u64, last: Option<String> },
    /// The next step of a run on a runner.
    Run { runner: usize, life: u64, run: u64 },
    /// A runner has finished loading the model or adapter `name`.
    Loaded { runner: usize, life: u64, name: Name },
    /// The next call of the flow with this index in `World::flows`.
    Flow { flow: usize },
    /// A controller's periodic poll of the list of runners.
    ListPoll { place: usize, life: u64 },
    /// The list of runners arrives at a controller that asked for it.
    ListAnswer { place: usize, life: u64, listing: Box<RunnerListing> },
    /// Runs an action on the world.
    Do(Deed),
}

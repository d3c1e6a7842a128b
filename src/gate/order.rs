//! What a balancer needs to know of a request, and what it decides.

use crate::fleet::config::{Class, RouteKind, ServiceKind};
use crate::fleet::runner::Runner;
use crate::fleet::tenants::{Credential, KeyDigest, TenantRank};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::transfer::continuation::RunContract;
use compact_str::CompactString;

pub use super::prompt_size::{PromptParts, TokenCounts};
pub use super::refusal::{Refusal, RefusalReason};

/// A request as balancers and forwarding see it.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Unique on this router.
    pub id: u64,
    /// The service that its route leads to.
    pub service: Name,
    /// Priority class of the route.
    pub class: Class,
    /// Urgency of its tenant; compared before the class.
    pub rank: TenantRank,
    /// The key that came with it, whether or not it belongs to a tenant.
    pub key: Option<KeyDigest>,
    /// The key it was admitted with and the tenant of that key.
    pub credential: Option<Credential>,
    /// The kind of service that its parameters were read for.
    pub read_for: Option<ServiceKind>,
    /// Model asked for; empty for plain services.
    pub model: CompactString,
    /// Adapter asked for, or empty.
    pub adapter: CompactString,
    /// Client-supplied name of the prompt prefix, or empty.
    pub prefix: CompactString,
    /// Whether another runner may continue its event stream.
    pub is_resumable: bool,
    /// Latest time at which it may be sent to a runner.
    pub start_deadline: Time,
    /// Latest time at which the runner may begin to answer.
    pub answer_deadline: Time,
    /// Latest time for the end of an answer that has begun, if the route limits it.
    pub completion_deadline: Option<Time>,
    /// Id of the last event the client has, if its stream is being continued.
    pub last_event_id: Option<String>,
    /// Whether it was already being answered and now continues on another runner.
    pub is_resumed: bool,
    /// Host of the request.
    pub host: CompactString,
    /// Path of the request; empty if it came without a route.
    pub path: CompactString,
    /// Version of the routes it was admitted by.
    pub routes_version: Version,
    /// When it began to wait, if it waited before it was admitted anew; it keeps its place by that.
    pub waiting_since: Option<Time>,
    /// How often its route allows it to run.
    pub route_kind: RouteKind,
    /// Most runners that may be tried.
    pub max_attempts: u64,
    /// Target time to the first event; zero if the service states none.
    pub target_latency: Span,
    /// Target time between events; zero if the service states none.
    pub target_gap: Span,
    /// Expected tokens.
    pub token_counts: TokenCounts,
    /// The prompt as a list of parts, to match it with prompts sent earlier.
    pub prompt_parts: PromptParts,
    /// What runs of this request on different runners have in common.
    pub run_contract: RunContract,
}

impl Default for RequestSpec {
    fn default() -> RequestSpec {
        RequestSpec {
            id: 0,
            service: Name::default(),
            class: Class::Normal,
            rank: TenantRank::FIRST,
            key: None,
            credential: None,
            read_for: None,
            model: "".into(),
            adapter: "".into(),
            prefix: "".into(),
            is_resumable: false,
            start_deadline: Time(0),
            answer_deadline: Time(0),
            completion_deadline: None,
            last_event_id: None,
            is_resumed: false,
            host: "".into(),
            path: "".into(),
            routes_version: Version(0),
            waiting_since: None,
            route_kind: RouteKind::Once,
            max_attempts: 16,
            target_latency: Span(0),
            target_gap: Span(0),
            token_counts: TokenCounts::default(),
            prompt_parts: PromptParts::default(),
            run_contract: RunContract::default(),
        }
    }
}

/// The order in which requests are served: by tenant rank, then by route class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Urgency {
    /// Rank of the tenant.
    pub rank: TenantRank,
    pub class: Class,
}

impl RequestSpec {
    /// Its position relative to other waiting requests.
    pub fn urgency(&self) -> Urgency {
        Urgency { rank: self.rank, class: self.class }
    }

    /// The request, admitted anew after `earlier`: it keeps how long it has waited, and no deadline becomes later.
    pub fn after(mut self, earlier: &RequestSpec) -> RequestSpec {
        self.waiting_since = earlier.waiting_since;
        self.start_deadline = self.start_deadline.min(earlier.start_deadline);
        self.answer_deadline = self.answer_deadline.min(earlier.answer_deadline);
        self.completion_deadline = match (self.completion_deadline, earlier.completion_deadline) {
            (Some(new), Some(old)) => Some(new.min(old)),
            (new, old) => new.or(old),
        };
        self
    }
}

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum RoutingDecision {
    /// It is sent to this runner, where a slot is claimed for it.
    Send(Runner),
    /// It waits, for this reason (also a label in logs).
    Wait(&'static str),
    /// Newer routes send it to another service or on other terms: it is to be admitted anew by them.
    Readmit,
    /// It is refused.
    Refuse(Refusal),
}

//! What a balancer needs to know of a request, and what it decides.

use crate::fleet::config::{Class, RouteKind};
use crate::fleet::runner::Runner;
use crate::fleet::tenants::{Credential, TenantRank};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::transfer::continuation::RunContract;
use compact_str::CompactString;

pub use super::prompt_size::{PromptParts, TokenCounts};

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
    /// The key it was admitted with and the tenant of that key.
    pub credential: Option<Credential>,
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
            credential: None,
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
}

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum RoutingDecision {
    /// It is sent to this runner, where a slot is claimed for it.
    Send(Runner),
    /// It waits, for this reason (also a label in logs).
    Wait(&'static str),
    /// It is refused.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalReason {
    StaleConfiguration,
    NoRunner,
    UnknownModel,
    QueueFull,
    DeadlinePassed,
    RetryBudgetSpent,
    Stopping,
    ServiceWithdrawn,
    DisplacedByHigherClass,
    WaitTooLong,
    RouteChanged,
    UnknownKey,
    KeyReassigned,
    OverQuota,
    QuotaUnknown,
    RunnersFull,
}

/// A refusal as the client sees it.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// How long the client should wait before a retry.
    pub retry_after: Span,
}

impl Refusal {
    /// A refusal with a retry delay in seconds.
    pub fn new(why: RefusalReason, retry_s: u64) -> Refusal {
        Refusal { reason: why, retry_after: Span::ms(retry_s * 1000) }
    }

    /// A refusal with a retry delay.
    pub fn after(why: RefusalReason, wait: Span) -> Refusal {
        Refusal { reason: why, retry_after: wait }
    }

    /// Seconds for the `Retry-After` header, rounded up.
    pub fn retry_s(&self) -> u64 {
        self.retry_after.0.div_ceil(1_000_000)
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self.reason {
            RefusalReason::QueueFull | RefusalReason::DisplacedByHigherClass | RefusalReason::OverQuota => {
                429
            }
            RefusalReason::UnknownModel | RefusalReason::ServiceWithdrawn | RefusalReason::RouteChanged => {
                404
            }
            RefusalReason::UnknownKey => 401,
            _ => 503,
        }
    }

    /// The machine-readable code, part of the API.
    pub fn code(&self) -> &'static str {
        match self.reason {
            RefusalReason::StaleConfiguration => "not-fresh",
            RefusalReason::NoRunner => "no-runner",
            RefusalReason::UnknownModel => "unknown-model",
            RefusalReason::QueueFull => "inbox-full",
            RefusalReason::DeadlinePassed => "due-passed",
            RefusalReason::RetryBudgetSpent => "no-budget",
            RefusalReason::Stopping => "stopping",
            RefusalReason::ServiceWithdrawn => "service-gone",
            RefusalReason::DisplacedByHigherClass => "crowded",
            RefusalReason::WaitTooLong => "wait-too-long",
            RefusalReason::RouteChanged => "route-changed",
            RefusalReason::UnknownKey => "unknown-key",
            RefusalReason::KeyReassigned => "key-passed-on",
            RefusalReason::OverQuota => "over-quota",
            RefusalReason::QuotaUnknown => "quota-unknown",
            RefusalReason::RunnersFull => "runners-full",
        }
    }

    /// Explanation for the client.
    pub fn text(&self) -> &'static str {
        match self.reason {
            RefusalReason::StaleConfiguration => {
                "this router could not prove its configuration current; ask again or ask another router"
            }
            RefusalReason::NoRunner => "no runner of the service can take it now; ask again later",
            RefusalReason::UnknownModel => {
                "the service does not offer that model or adapter; name one it lists"
            }
            RefusalReason::QueueFull => "too many orders wait for this service; ask again later",
            RefusalReason::DeadlinePassed => "it could not be started within its due; ask again later",
            RefusalReason::RetryBudgetSpent => {
                "the first try did not reach a runner and the retry budget is spent; ask again later"
            }
            RefusalReason::Stopping => "this router is stopping; ask another router",
            RefusalReason::WaitTooLong => {
                "the wait for a runner is expected to pass its due; ask again after Retry-After"
            }
            RefusalReason::RouteChanged => {
                "its route was changed while it waited; see the current configuration and ask again"
            }
            RefusalReason::KeyReassigned => "its key was given to another tenant while it waited; ask again",
            RefusalReason::UnknownKey => {
                "it carries no key of a tenant; send a key that the configuration names"
            }
            RefusalReason::OverQuota => {
                "its tenant's quota (rate and burst) is used up; ask again after Retry-After"
            }
            RefusalReason::QuotaUnknown => {
                "the controller that counts its tenant's quota did not answer; ask again"
            }
            RefusalReason::RunnersFull => "the runners tried turned it away; ask again after Retry-After",
            RefusalReason::ServiceWithdrawn => "the service was withdrawn; see the current configuration",
            RefusalReason::DisplacedByHigherClass => {
                "orders of a higher class fill the inbox; ask again later"
            }
        }
    }
}

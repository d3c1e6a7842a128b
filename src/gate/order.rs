use crate::fleet::config::{Class, RouteKind};
use crate::fleet::runner::Runner;
use crate::fleet::tenants::{Credential, TenantRank};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::transfer::continuation::RunContract;
use compact_str::CompactString;

#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub id: u64,
    pub service: Name,
    pub class: Class,
    /// How urgent its tenant is; it goes before the class.
    pub rank: TenantRank,
    /// The key that it was admitted by, and whose it was.
    pub credential: Option<Credential>,
    pub model: CompactString,
    pub adapter: CompactString,
    pub prefix: CompactString,
    pub is_resumable: bool,
    pub start_deadline: Time,
    pub answer_deadline: Time,
    /// When an answer that has begun is broken off, if its route bounds the whole of it.
    pub completion_deadline: Option<Time>,
    pub last_event_id: Option<String>,
    pub is_resumed: bool,
    pub host: CompactString,
    pub path: CompactString,
    pub routes_version: Version,
    pub route_kind: RouteKind,
    pub max_attempts: u64,
    pub target_latency: Span,
    pub target_gap: Span,
    pub token_counts: TokenCounts,
    pub prompt_parts: PromptParts,
    /// What runs of this request at different runners have in common.
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

/// In which order requests are served: by the rank of the tenant, then by the class of the route.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Urgency {
    pub rank: TenantRank,
    pub class: Class,
}

impl RequestSpec {
    /// Where it stands among requests that wait.
    pub fn urgency(&self) -> Urgency {
        Urgency { rank: self.rank, class: self.class }
    }
}

pub type PromptParts = std::sync::Arc<[(u64, u32)]>;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TokenCounts {
    pub prompt: u32,
    pub output: u32,
}

#[derive(Clone, Debug)]
pub enum RoutingDecision {
    Send(Runner),
    Wait(&'static str),
    Refuse(Refusal),
}

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

#[derive(Clone, Debug)]
pub struct Refusal {
    pub reason: RefusalReason,
    pub retry_after: Span,
}

impl Refusal {
    pub fn new(why: RefusalReason, retry_s: u64) -> Refusal {
        Refusal { reason: why, retry_after: Span::ms(retry_s * 1000) }
    }

    pub fn after(why: RefusalReason, wait: Span) -> Refusal {
        Refusal { reason: why, retry_after: wait }
    }

    pub fn retry_s(&self) -> u64 {
        self.retry_after.0.div_ceil(1_000_000)
    }

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

    pub fn text(&self) -> &'static str {
        match self.reason {
            RefusalReason::StaleConfiguration => {
                "this router cannot confirm that its configuration is current; retry or ask another router"
            }
            RefusalReason::NoRunner => "no runner of the service is available; retry later",
            RefusalReason::UnknownModel => "the service does not offer this model or adapter",
            RefusalReason::QueueFull => "too many requests wait for this service; retry later",
            RefusalReason::DeadlinePassed => "the request could not start before its deadline; retry later",
            RefusalReason::RetryBudgetSpent => {
                "the first attempt did not reach a runner and the retry budget is spent; retry later"
            }
            RefusalReason::Stopping => "this router is stopping; ask another router",
            RefusalReason::WaitTooLong => "the expected wait exceeds the deadline; retry after Retry-After",
            RefusalReason::RouteChanged => {
                "its route changed while the request waited; read the current configuration and retry"
            }
            RefusalReason::KeyReassigned => "its key was assigned to another tenant meanwhile; retry",
            RefusalReason::UnknownKey => "no valid API key; send a key that the configuration names",
            RefusalReason::OverQuota => "the tenant's quota is used up; retry after Retry-After",
            RefusalReason::QuotaUnknown => "the controller that counts the quota did not answer; retry",
            RefusalReason::RunnersFull => "the runners tried were full; retry after Retry-After",
            RefusalReason::ServiceWithdrawn => "the service was withdrawn; read the configuration",
            RefusalReason::DisplacedByHigherClass => "requests of a higher class fill the queue; retry",
        }
    }
}

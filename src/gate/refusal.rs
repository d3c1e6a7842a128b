//! Why a request is refused, and how its client is told.
#![deny(missing_docs)]

use crate::kernel::time::Span;

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalReason {
    /// The configuration known here is not proven current, or only a part of it has come.
    StaleConfiguration,
    /// No runner of the service can be used.
    NoRunner,
    /// The service offers no such model or adapter.
    UnknownModel,
    /// Too many requests wait for the service.
    QueueFull,
    /// It could not be sent before its start deadline.
    DeadlinePassed,
    /// No credit is left for a further attempt.
    RetryBudgetSpent,
    /// The router is stopping.
    Stopping,
    /// The service is not configured any more.
    ServiceWithdrawn,
    /// More urgent requests took its place in the queue.
    DisplacedByHigherClass,
    /// The wait is expected to pass its start deadline.
    WaitTooLong,
    /// The routes that admitted it have changed, and nothing allows it now.
    RouteChanged,
    /// It has no key that belongs to a tenant, and its route needs one.
    UnknownKey,
    /// Its key belongs to another tenant now.
    KeyReassigned,
    /// Its tenant's quota is used up.
    OverQuota,
    /// Nobody counted its tenant's quota in time.
    QuotaUnknown,
    /// The runners tried were full.
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

    /// The counter of final refusals for this reason; nothing if the client may repeat the request.
    pub fn final_counter(&self) -> Option<&'static str> {
        match self.reason {
            RefusalReason::UnknownModel => Some("refused_unknown_model"),
            RefusalReason::ServiceWithdrawn => Some("refused_service_withdrawn"),
            RefusalReason::RouteChanged => Some("refused_route_changed"),
            RefusalReason::UnknownKey => Some("refused_unknown_key"),
            _ => None,
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

use crate::fleet::config::{Class, RouteKind};
use crate::fleet::runner::Runner;
use crate::fleet::tenants::{Credential, TenantRank};
use crate::kernel::ids::*;
use crate::kernel::time::{Span, Time};
use crate::transfer::continuation::RunContract;
use compact_str::CompactString;

#[derive(Clone, Debug)]
pub struct Order {
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
    pub resumable: bool,
    pub due: Time,
    pub end: Time,
    /// When an answer that has begun is broken off, if its route bounds the whole of it.
    pub whole_by: Option<Time>,
    pub last: Option<String>,
    pub resumed: bool,
    pub host: CompactString,
    pub path: CompactString,
    pub routes_version: Version,
    pub kind: RouteKind,
    pub tries: u64,
    pub aim: Span,
    pub gap: Span,
    pub size: Size,
    pub parts: Parts,
    /// What runs of this request at different runners have in common.
    pub runs: RunContract,
}

impl Default for Order {
    fn default() -> Order {
        Order {
            id: 0,
            service: Name::default(),
            class: Class::Normal,
            rank: TenantRank::FIRST,
            credential: None,
            model: "".into(),
            adapter: "".into(),
            prefix: "".into(),
            resumable: false,
            due: Time(0),
            end: Time(0),
            whole_by: None,
            last: None,
            resumed: false,
            host: "".into(),
            path: "".into(),
            routes_version: Version(0),
            kind: RouteKind::Once,
            tries: 16,
            aim: Span(0),
            gap: Span(0),
            size: Size::default(),
            parts: Parts::default(),
            runs: RunContract::default(),
        }
    }
}

/// In which order requests are served: by the rank of the tenant, then by the class of the route.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Urgency {
    pub rank: TenantRank,
    pub class: Class,
}

impl Order {
    /// Where it stands among requests that wait.
    pub fn urgency(&self) -> Urgency {
        Urgency { rank: self.rank, class: self.class }
    }
}

pub type Parts = std::sync::Arc<[(u64, u32)]>;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Size {
    pub prompt: u32,
    pub out: u32,
}

#[derive(Clone, Debug)]
pub enum Plan {
    Send(Runner),
    Wait(&'static str),
    Refuse(Refusal),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Why {
    Stale,
    NoRunner,
    NoModel,
    InboxFull,
    Due,
    NoBudget,
    Stopping,
    Gone,
    Crowded,
    TooLong,
    NoRoute,
    UnknownKey,
    KeyPassedOn,
    OverQuota,
    NoQuotaAnswer,
    Full,
}

#[derive(Clone, Debug)]
pub struct Refusal {
    pub why: Why,
    pub wait: Span,
}

impl Refusal {
    pub fn new(why: Why, retry_s: u64) -> Refusal {
        Refusal { why, wait: Span::ms(retry_s * 1000) }
    }

    pub fn after(why: Why, wait: Span) -> Refusal {
        Refusal { why, wait }
    }

    pub fn retry_s(&self) -> u64 {
        self.wait.0.div_ceil(1_000_000)
    }

    pub fn status(&self) -> u16 {
        match self.why {
            Why::InboxFull | Why::Crowded | Why::OverQuota => 429,
            Why::NoModel | Why::Gone | Why::NoRoute => 404,
            Why::UnknownKey => 401,
            _ => 503,
        }
    }

    pub fn code(&self) -> &'static str {
        match self.why {
            Why::Stale => "not-fresh",
            Why::NoRunner => "no-runner",
            Why::NoModel => "unknown-model",
            Why::InboxFull => "inbox-full",
            Why::Due => "due-passed",
            Why::NoBudget => "no-budget",
            Why::Stopping => "stopping",
            Why::Gone => "service-gone",
            Why::Crowded => "crowded",
            Why::TooLong => "wait-too-long",
            Why::NoRoute => "route-changed",
            Why::UnknownKey => "unknown-key",
            Why::KeyPassedOn => "key-passed-on",
            Why::OverQuota => "over-quota",
            Why::NoQuotaAnswer => "quota-unknown",
            Why::Full => "runners-full",
        }
    }

    pub fn text(&self) -> &'static str {
        match self.why {
            Why::Stale => {
                "this router could not prove its configuration current; ask again or ask another router"
            }
            Why::NoRunner => "no runner of the service can take it now; ask again later",
            Why::NoModel => "the service does not offer that model or adapter; name one it lists",
            Why::InboxFull => "too many orders wait for this service; ask again later",
            Why::Due => "it could not be started within its due; ask again later",
            Why::NoBudget => {
                "the first try did not reach a runner and the retry budget is spent; ask again later"
            }
            Why::Stopping => "this router is stopping; ask another router",
            Why::TooLong => "the wait for a runner is expected to pass its due; ask again after Retry-After",
            Why::NoRoute => {
                "its route was changed while it waited; see the current configuration and ask again"
            }
            Why::KeyPassedOn => "its key was given to another tenant while it waited; ask again",
            Why::UnknownKey => "it carries no key of a tenant; send a key that the configuration names",
            Why::OverQuota => "its tenant's quota (rate and burst) is used up; ask again after Retry-After",
            Why::NoQuotaAnswer => "the controller that counts its tenant's quota did not answer; ask again",
            Why::Full => "the runners tried turned it away; ask again after Retry-After",
            Why::Gone => "the service was withdrawn; see the current configuration",
            Why::Crowded => "orders of a higher class fill the inbox; ask again later",
        }
    }
}

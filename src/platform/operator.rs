//! The operators' protocol on the platform: the path of the configuration, `If-Match`, and the statuses of answers.

use super::config::{read, revision};
use super::precondition::Precondition;
use crate::fleet::FleetConfig;
use crate::fleet::config::Budget;
use crate::kernel::fault::Fault;
use crate::kernel::ids::{ChangeId, DocumentDigest};
use crate::msg::{Answer, Event, OperatorCall};
use crate::protocol::{OperatorProtocol, ParsedCall};

/// What the settings file fixes for every configuration.
#[derive(Clone, Debug, Default)]
pub struct SettingsFigures {
    /// The retry budget of each service.
    pub budget: Budget,
    /// How strictly the rate of loads is kept.
    pub load_rate_limit: LoadRateLimit,
}

/// How strictly the load rate of the model store is kept: within any `window_s` seconds, at most the number of loads that
/// its rate allows, times `tolerance`, plus `EXTRA_LOADS`, may begin.
#[derive(Clone, Copy, Debug)]
pub struct LoadRateLimit {
    /// The length of the window in seconds.
    pub window_s: f64,
    /// The factor by which the rate may be exceeded within the window; 1 means not at all.
    pub tolerance: f64,
}

/// How many loads beyond the rate may begin within one window.
const EXTRA_LOADS: f64 = 3.0;

impl Default for LoadRateLimit {
    fn default() -> LoadRateLimit {
        LoadRateLimit { window_s: 5.0, tolerance: 1.0 }
    }
}

impl LoadRateLimit {
    /// The burst of loads that may begin at once, such that together with the steady rate no window holds too many.
    pub fn burst(&self, loads_per_s: f64) -> u64 {
        let above_rate = (self.tolerance - 1.0).max(0.0) * loads_per_s * self.window_s;
        (above_rate + EXTRA_LOADS).floor() as u64
    }
}

/// The operators' protocol on the platform.
pub struct PlatformOperator {
    /// What the settings fix for every configuration.
    pub figures: SettingsFigures,
}

/// The path of the configuration.
const CONFIG: &str = "/spindledock/config";

impl OperatorProtocol for PlatformOperator {
    fn id(&self, method: &str, base: Option<&str>, text: &str) -> ChangeId {
        let base = Precondition::read(base).key();
        let parts = [method.as_bytes(), base.as_bytes(), text.as_bytes()];
        ChangeId::of_document(DocumentDigest::of(&parts))
    }

    fn read_request(
        &self,
        id: ChangeId,
        method: &str,
        path: &str,
        base: Option<&str>,
        text: &str,
    ) -> Option<ParsedCall> {
        if path == "/spindledock/ready" && method == "GET" {
            return Some(ParsedCall::Ready);
        }
        if path != CONFIG {
            return None;
        }
        if method == "GET" {
            return Some(ParsedCall::Event(Box::new(Event::ReadCall { id, path: "source".into() })));
        }
        if method != "PUT" && method != "PATCH" {
            return Some(ParsedCall::Bad(Answer::new(
                405,
                "bad-order",
                "GET, PUT or PATCH the configuration",
                0,
            )));
        }
        let base = match Precondition::read(base).revision() {
            Ok(base) => base,
            Err(why) => return Some(ParsedCall::Bad(Answer::new(412, "stale-base", &why.to_string(), 0))),
        };
        let op = OperatorCall::PlatformConfig { base, part: method == "PATCH", text: text.to_string() };
        Some(ParsedCall::Event(Box::new(Event::OperatorCall { id, op })))
    }

    fn status(&self, answer: &Answer) -> u16 {
        match answer.status {
            409 => 412,
            503 if answer.redirect.is_some() => 307,
            status => status,
        }
    }

    fn revision(&self, text: &str) -> Option<u64> {
        revision(text)
    }

    fn read(&self, current: &FleetConfig, text: &str, is_patch: bool) -> Result<FleetConfig, Vec<Fault>> {
        read(&self.figures, current, text, is_patch)
    }
}

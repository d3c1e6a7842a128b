use super::config::read;
use crate::fleet::FleetConfig;
use crate::fleet::config::{Budget, Store};
use crate::kernel::fault::Fault;
use crate::kernel::ids::ChangeId;
use crate::kernel::rand::hash;
use crate::msg::{Answer, Event, Op};
use crate::seam::{OperatorSide, Wish};

/// What the settings say of every configuration: the rules' own figures.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub budget: Budget,
    pub store: Store,
}

pub struct Operator {
    pub figures: Figures,
}

const CONFIG: &str = "/spindledock/config";

impl OperatorSide for Operator {
    fn id(&self, method: &str, base: Option<&str>, text: &str) -> ChangeId {
        ChangeId(hash(&format!("{method} {base:?} {text}"), 0x0dd) | 1)
    }

    fn wish(&self, id: ChangeId, method: &str, path: &str, base: Option<&str>, text: &str) -> Option<Wish> {
        if path == "/spindledock/ready" && method == "GET" {
            return Some(Wish::Ready);
        }
        if path != CONFIG {
            return None;
        }
        let base = match base.map(|b| b.trim().trim_matches('"').parse::<u64>()) {
            None => u64::MAX,
            Some(Ok(n)) => n,
            Some(Err(_)) => {
                let text = "If-Match is no revision; give the number of the one it builds on";
                return Some(Wish::Bad(Answer::new(412, "stale-base", text, 0)));
            }
        };
        let op = |part| Event::Op { id, op: Op::Foreign { base, part, text: text.to_string() } };
        Some(match method {
            "GET" => Wish::Event(Event::Ask { id, path: "source".into() }),
            "PUT" => Wish::Event(op(false)),
            "PATCH" => Wish::Event(op(true)),
            _ => Wish::Bad(Answer::new(405, "bad-order", "GET, PUT or PATCH the configuration", 0)),
        })
    }

    fn status(&self, answer: &Answer) -> u16 {
        if answer.status == 409 { 412 } else { answer.status }
    }

    fn read(&self, now: &FleetConfig, text: &str, part: bool) -> Result<FleetConfig, Vec<Fault>> {
        read(&self.figures, now, text, part)
    }
}

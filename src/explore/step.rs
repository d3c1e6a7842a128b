//! The steps of an exploration: what the scheduler may do next, as text that can be replayed.

use super::replica::Unsynced;
use crate::kernel::time::Span;
use std::fmt;

/// A set of places, one bit for each.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Group(pub u32);

impl Group {
    pub fn has(self, place: usize) -> bool {
        self.0 & (1 << place) != 0
    }

    pub fn without(self, place: usize) -> Group {
        Group(self.0 & !(1 << place))
    }

    pub fn places(self) -> impl Iterator<Item = usize> {
        (0..u32::BITS as usize).filter(move |p| self.has(*p))
    }
}

/// One thing that goes wrong in the middle of an exchange.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Disturbance {
    /// The message with this number is held back; it may be delivered later or never.
    Delay { message: usize },
    /// It arrives, and a second copy of it may be delivered later.
    Duplicate { message: usize },
    /// The replica goes down as it makes its save with this number.
    Crash { place: usize, save: usize, unsynced: Unsynced },
}

/// One step of the scheduler.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The replicas of the group tick and talk for a while; all others are frozen or cut off.
    Exchange {
        group: Group,
        span: Span,
        disturbance: Option<Disturbance>,
    },
    /// Time passes while every replica is frozen.
    Advance {
        span: Span,
    },
    Tick {
        place: usize,
    },
    Deliver {
        flight: u64,
    },
    Duplicate {
        flight: u64,
    },
    /// The message is lost.
    Drop {
        flight: u64,
    },
    /// The replica handles the message and goes down before it syncs what it then saves.
    DeliverAndCrash {
        flight: u64,
        unsynced: Unsynced,
    },
    Crash {
        place: usize,
        unsynced: Unsynced,
    },
    Restart {
        place: usize,
    },
    Wipe {
        place: usize,
    },
    Stall {
        place: usize,
    },
    Sync {
        place: usize,
    },
    /// The process is told to stop, and leaves before it ends.
    Warn {
        place: usize,
    },
    /// An operator's change arrives at the replica.
    Submit {
        place: usize,
    },
    /// Membership tells one replica the fleet and view of another, and whether it knows a fleet.
    Gossip {
        from: usize,
        to: usize,
    },
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.places().map(|p| p.to_string()).collect();
        write!(f, "{}", names.join("+"))
    }
}

impl fmt::Display for Unsynced {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unsynced::Lost => "lost",
            Unsynced::Kept => "kept",
        })
    }
}

impl fmt::Display for Disturbance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Disturbance::Delay { message } => write!(f, "delay {message}"),
            Disturbance::Duplicate { message } => write!(f, "duplicate {message}"),
            Disturbance::Crash { place, save, unsynced } => write!(f, "crash {place} {save} {unsynced}"),
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Exchange { group, span, disturbance: None } => {
                write!(f, "exchange {group} {}", span.as_ms())
            }
            Step::Exchange { group, span, disturbance: Some(d) } => {
                write!(f, "exchange {group} {} {d}", span.as_ms())
            }
            Step::Advance { span } => write!(f, "advance {}", span.as_ms()),
            Step::Tick { place } => write!(f, "tick {place}"),
            Step::Deliver { flight } => write!(f, "deliver {flight}"),
            Step::Duplicate { flight } => write!(f, "duplicate {flight}"),
            Step::Drop { flight } => write!(f, "drop {flight}"),
            Step::DeliverAndCrash { flight, unsynced } => write!(f, "deliver-and-crash {flight} {unsynced}"),
            Step::Crash { place, unsynced } => write!(f, "crash {place} {unsynced}"),
            Step::Restart { place } => write!(f, "restart {place}"),
            Step::Wipe { place } => write!(f, "wipe {place}"),
            Step::Stall { place } => write!(f, "stall {place}"),
            Step::Sync { place } => write!(f, "sync {place}"),
            Step::Warn { place } => write!(f, "warn {place}"),
            Step::Submit { place } => write!(f, "submit {place}"),
            Step::Gossip { from, to } => write!(f, "gossip {from} {to}"),
        }
    }
}

impl Step {
    /// Reads a step as `Display` writes it.
    pub fn parse(text: &str) -> Option<Step> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let (name, rest) = words.split_first()?;
        let step = match (*name, rest) {
            ("exchange", [group, span, rest @ ..]) => Step::Exchange {
                group: parse_group(group)?,
                span: parse_span(span)?,
                disturbance: if rest.is_empty() { None } else { Some(parse_disturbance(rest)?) },
            },
            ("advance", [span]) => Step::Advance { span: parse_span(span)? },
            ("tick", [p]) => Step::Tick { place: p.parse().ok()? },
            ("deliver", [n]) => Step::Deliver { flight: n.parse().ok()? },
            ("duplicate", [n]) => Step::Duplicate { flight: n.parse().ok()? },
            ("drop", [n]) => Step::Drop { flight: n.parse().ok()? },
            ("deliver-and-crash", [n, u]) => {
                Step::DeliverAndCrash { flight: n.parse().ok()?, unsynced: parse_unsynced(u)? }
            }
            ("crash", [p, u]) => Step::Crash { place: p.parse().ok()?, unsynced: parse_unsynced(u)? },
            ("restart", [p]) => Step::Restart { place: p.parse().ok()? },
            ("wipe", [p]) => Step::Wipe { place: p.parse().ok()? },
            ("stall", [p]) => Step::Stall { place: p.parse().ok()? },
            ("sync", [p]) => Step::Sync { place: p.parse().ok()? },
            ("warn", [p]) => Step::Warn { place: p.parse().ok()? },
            ("submit", [p]) => Step::Submit { place: p.parse().ok()? },
            ("gossip", [a, b]) => Step::Gossip { from: a.parse().ok()?, to: b.parse().ok()? },
            _ => return None,
        };
        Some(step)
    }
}

fn parse_group(text: &str) -> Option<Group> {
    let mut bits = 0;
    for word in text.split('+') {
        let place: u32 = word.parse().ok().filter(|p| *p < u32::BITS)?;
        bits |= 1 << place;
    }
    Some(Group(bits))
}

fn parse_span(text: &str) -> Option<Span> {
    text.parse().ok().map(Span::ms)
}

fn parse_unsynced(text: &str) -> Option<Unsynced> {
    match text {
        "lost" => Some(Unsynced::Lost),
        "kept" => Some(Unsynced::Kept),
        _ => None,
    }
}

fn parse_disturbance(words: &[&str]) -> Option<Disturbance> {
    match words {
        ["delay", n] => Some(Disturbance::Delay { message: n.parse().ok()? }),
        ["duplicate", n] => Some(Disturbance::Duplicate { message: n.parse().ok()? }),
        ["crash", p, n, u] => Some(Disturbance::Crash {
            place: p.parse().ok()?,
            save: n.parse().ok()?,
            unsynced: parse_unsynced(u)?,
        }),
        _ => None,
    }
}

//! A processor that inputs take time of, so that a node with too much to do is late, as it is on a small machine.
//!
//! The inputs that wait stand in the same lanes as before a daemon's node.

use super::world::{Event, World};
use crate::kernel::input_queue::InputQueue;
use crate::kernel::lanes::{Class, Lane, class_of_message};
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

/// What the inputs of a node take, by their kind.
#[derive(Clone, Default)]
pub struct Charges {
    /// Inputs that cost more, or less, than others.
    pub kinds: BTreeMap<&'static str, Span>,
    /// Any other.
    pub other: Span,
}

/// The processor of one node.
pub struct Processor {
    charges: Charges,
    waiting: InputQueue<Event>,
    busy_until: Time,
    /// The longest that an input of the chain has waited.
    pub longest_chain_wait: Span,
}

impl Charges {
    fn of(&self, ev: &Event) -> Span {
        self.kinds.get(kind(ev)).copied().unwrap_or(self.other)
    }
}

impl Processor {
    /// A processor with these charges.
    pub fn new(charges: Charges) -> Processor {
        Processor {
            charges,
            waiting: InputQueue::default(),
            busy_until: Time(0),
            longest_chain_wait: Span(0),
        }
    }

    /// How many inputs wait.
    pub fn backlog(&self, now: Time) -> usize {
        self.waiting.state(now).iter().map(|(_, lane)| lane.length).sum()
    }
}

impl World {
    /// From now on inputs take time of this node's processor.
    pub fn charge(&mut self, place: usize, charges: Charges) {
        self.nodes[place].processor = Some(Processor::new(charges));
    }

    /// Queues an input of a node with a processor; gives back what needs none.
    pub(super) fn queue_input(&mut self, place: usize, ev: Event) -> Option<Event> {
        let now = self.now;
        let Some(processor) = &mut self.nodes[place].processor else { return Some(ev) };
        let Some(class) = class_of(&ev) else { return Some(ev) };
        let rests = processor.waiting.is_empty();
        processor.waiting.add(now, class, ev);
        if rests {
            self.resume_at(place, now);
        }
        None
    }

    fn resume_at(&mut self, place: usize, now: Time) {
        let Some(processor) = &self.nodes[place].processor else { return };
        let when = processor.busy_until.max(now);
        self.at(when, move |w| w.serve_next(place));
    }

    fn serve_next(&mut self, place: usize) {
        let now = self.now;
        let Some(processor) = &mut self.nodes[place].processor else { return };
        let Some(next) = processor.waiting.pop(now) else { return };
        if next.lane == Lane::Chain {
            processor.longest_chain_wait = processor.longest_chain_wait.max(next.waited);
        }
        processor.busy_until = now + processor.charges.of(&next.item);
        let more = !processor.waiting.is_empty();
        if more {
            self.resume_at(place, now);
        }
        self.act(next.item);
    }
}

fn kind(ev: &Event) -> &'static str {
    match ev {
        Event::Envelope { letter, .. } => letter.msg.kind(),
        Event::Tick { .. } => "tick",
        Event::Work { .. } => "work",
        Event::Reported { .. } => "runner report",
        Event::Driven { .. } => "order answer",
        _ => "other",
    }
}

/// The lane of an input, if it takes time of the node's own thread.
fn class_of(ev: &Event) -> Option<Class> {
    match ev {
        Event::Envelope { letter, .. } => Some(class_of_message(letter.from, &letter.msg)),
        Event::Tick { .. } | Event::Synced { .. } => Some(Class::kept(Lane::Chain)),
        Event::Work { .. } | Event::Reported { .. } | Event::Driven { .. } => {
            Some(Class::kept(Lane::Deferrable))
        }
        _ => None,
    }
}

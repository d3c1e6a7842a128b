//! The platform's list of runners, as controllers of the simulated fleet read it.

use super::record::Fact;
use super::world::{Event, World};
use crate::fleet::runner::Runner;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use crate::msg;
use crate::runner_list::messages::RunnerListing;
use crate::runner_list::timing::ListTiming;
use std::collections::BTreeSet;

/// How often a controller that is told to keep reading asks.
pub const PAUSE: Span = Span::ms(800);

/// The list, and the way to it.
#[derive(Default)]
pub struct SimList {
    /// The runners that it shows as leaving.
    pub leaving: BTreeSet<Name>,
    /// The nodes that can't reach it.
    pub cut: BTreeSet<usize>,
    /// Whether it turns every call away.
    pub refuses: bool,
    /// How long an answer takes beyond its way.
    pub slow: Span,
    /// When it was asked.
    pub calls: Vec<Time>,
}

impl World {
    /// The platform has a list of runners from now on; asked for before nodes are started.
    pub fn offer_list(&mut self) {
        self.list = Some(SimList::default());
        self.nodes.iter_mut().for_each(|n| n.place.list = Some(ListTiming::default()));
    }

    /// The list shows from now on that a runner is leaving.
    pub fn drain_runner(&mut self, name: &Name) {
        let Some(list) = &mut self.list else { return };
        list.leaving.insert(name.clone());
        self.note(Fact::ListShowsLeaving { runner: name.clone() });
    }

    /// The next read of a controller that is told to keep reading.
    pub fn list_poll(&mut self, place: usize, life: u64) {
        if !self.fits(place, life) {
            return;
        }
        self.later(PAUSE, Event::ListPoll { place, life });
        if self.nodes[place].reads_list {
            self.ask_list(place, life);
        }
    }

    /// Asks for the list; nothing comes back if it can't be reached or turns the call away.
    pub fn ask_list(&mut self, place: usize, life: u64) {
        let (now, asked, wait) = (self.now, self.local(place), self.delay());
        let Some(list) = &mut self.list else { return };
        list.calls.push(now);
        if list.refuses || list.cut.contains(&place) {
            return;
        }
        let shown = |card: &Runner| Runner {
            leaving: card.leaving || list.leaving.contains(&card.instance),
            ..card.clone()
        };
        let runners = self.runners.iter().map(|r| shown(&r.card)).collect();
        let wait = wait + list.slow;
        let listing = Box::new(RunnerListing { runners, requested_at: asked });
        self.later(wait, Event::ListAnswer { place, life, listing });
    }

    pub fn list_answered(&mut self, place: usize, life: u64, listing: RunnerListing) {
        if self.fits(place, life) {
            self.feed(place, msg::Event::RunnersListed(listing));
        }
    }
}

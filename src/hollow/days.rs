use super::meter::{Spent, lines};
use super::page;
use super::size::Size;
use super::world::{Event, Hollow};
use crate::kernel::ids::*;
use crate::kernel::rand::Rand;
use crate::kernel::time::{Span, Time};
use crate::msg::{self, OperatorCall, Role};

const STEP: Span = Span::ms(50);
const STEADY: Span = Span::ms(3000);

type Say<'a> = &'a mut dyn FnMut(String);

impl Hollow {
    pub fn role(&self, place: usize) -> Vec<&'static str> {
        let n = &self.nodes[place];
        let Some(node) = &n.node else { return vec![] };
        if n.role == Role::Router {
            let part = node.find("distribution").map(|p| p.status(self.now)).unwrap_or_default();
            let home = part.iter().any(|(k, v)| *k == "home_of" && v != "0");
            return vec![if home { "home" } else { "router" }];
        }
        let id = Some(node.me.node);
        let mut rows = match &node.views.view {
            Some(v) if v.head() == id => vec!["head"],
            Some(v) if v.tail() == id => vec!["tail"],
            Some(v) if v.has(node.me.node) => vec!["middle"],
            _ => vec!["outside"],
        };
        if node.views.state.duty.as_ref().map(|d| d.holder) == id {
            rows.push("holder");
        }
        rows
    }

    fn phase(&mut self, name: &str, say: Say, work: &mut dyn FnMut(&mut Hollow, Say)) {
        if self.over.is_some() {
            return;
        }
        self.judge.clear();
        for n in &mut self.nodes {
            n.spent.worst_ns = 0;
            n.spent.top = n.spent.state;
        }
        let from: Vec<(u64, Spent)> = self.nodes.iter().map(|n| (n.life, n.spent)).collect();
        let (began, wall) = (self.now, self.began.elapsed());
        work(self, say);
        let span = self.now.since(began);
        let mut rows = Vec::new();
        for (k, (life, old)) in from.iter().enumerate().filter(|(k, f)| self.nodes[*k].life == f.0) {
            debug_assert_eq!(self.nodes[k].life, *life);
            let spent = self.nodes[k].spent.since(old);
            rows.extend(self.role(k).into_iter().map(|r| (r, spent)));
        }
        let took = self.began.elapsed() - wall;
        let rows = lines(&rows, span);
        say(page::phase(name, span, took, &rows));
        if name == "rest" {
            self.rest = rows;
        }
        say(page::judged(&self.judge, span, self.size.nodes - self.size.core));
    }

    fn change(&mut self, op: OperatorCall, say: Say) -> bool {
        let id = ChangeId::random(&mut self.rand);
        let routers = self.live(Role::Router);
        let Some(place) = routers.first().copied() else { return false };
        let (asked, old) = (self.now, self.top());
        self.feed_made(place, "change", &|_| msg::Event::OperatorCall { id, op: op.clone() });
        let done = self.until(Span::ms(60_000), &|w| w.answers.contains_key(&id) || w.top() > old);
        let top = self.top();
        let all = if done.is_some() { self.until(Span::ms(60_000), &|w| w.in_force(top)) } else { None };
        let whole = all.map(|_| self.now.since(asked));
        self.until(Span::ms(2000), &|w| w.answers.contains_key(&id));
        let status = self.answers.get(&id).map_or(0, |a| a.1);
        let ms = |s: Option<Span>| s.map_or("never".into(), |s| s.to_string());
        say(format!(
            "  change: answer {status}, decided after {}, then in force everywhere after {}, in all {}",
            ms(done),
            ms(all),
            ms(whole)
        ));
        status == 200 && all.is_some()
    }

    fn boot(&mut self, say: Say) -> bool {
        let up = self
            .until(Span::ms(30_000), &|w| w.core_whole() && w.live(Role::Controller).len() == w.size.core);
        say(format!("  core whole after {}", up.map_or("never".into(), |s| s.to_string())));
        let known = self.until(Span::ms(30_000), &|w| {
            w.live(Role::Router)
                .iter()
                .all(|k| w.nodes[*k].node.as_ref().is_some_and(|n| n.views.view.is_some()))
        });
        say(format!(
            "  every router knows the chain after {} more",
            known.map_or("never".into(), |s| s.to_string())
        ));
        let text = self.size.config();
        if !self.change(OperatorCall::ReplaceConfig { base: None, text }, say) {
            return false;
        }
        let id = ChangeId::random(&mut self.rand);
        self.feed_made(0, "change", &|w| {
            let list = (0..w.size.runners).map(|n| w.size.runner(n)).collect();
            msg::Event::OperatorCall { id, op: OperatorCall::SetRunners(list) }
        });
        let taken = self.until(Span::ms(30_000), &|w| w.answers.contains_key(&id));
        let whole = self.until(Span::ms(60_000), &|w| w.whole());
        let ms = |s: Option<Span>| s.map_or("never".into(), |s| s.to_string());
        say(format!("  runners listed after {}, whole after {} more", ms(taken), ms(whole)));
        self.later(Span(0), Event::Demand);
        taken.is_some()
    }

    fn settled(&mut self, most: Span, test: &dyn Fn(&Hollow) -> bool) -> Option<Span> {
        let (from, mut good) = (self.now, self.now);
        while self.now.since(from) < most && self.over.is_none() {
            if !test(self) {
                good = self.now + STEP;
            }
            if self.now.since(good) >= STEADY {
                return Some(good.since(from));
            }
            self.run_for(STEP);
        }
        None
    }

    fn mended(&mut self, what: &str, most: Span, say: Say) {
        let from = self.now;
        let fresh = self.settled(most, &|w| w.all_fresh());
        let past = self.now.since(from);
        let whole = self.settled(most, &|w| w.whole());
        let whole = whole.map(|s| if s > Span(0) { past + s } else { fresh.unwrap_or(past) });
        let ms = |s: Option<Span>| s.map_or(format!("not within {most}"), |s| s.to_string());
        say(format!("  {what}: every router serves after {}, whole after {}", ms(fresh), ms(whole)));
    }

    pub fn lose(&mut self, place: usize) {
        let Some(id) = self.nodes[place].node.as_ref().map(|n| n.me.node) else { return };
        self.judge.losses.push((id, self.now));
        self.stop(place);
    }

    pub fn bring(&mut self, place: usize) {
        self.start(place);
        let (life, since) = (self.nodes[place].life, self.now);
        if let Some(node) = &self.nodes[place].node {
            self.judge.returned(node.me.node, since);
        }
        self.judge.arrivals.push(super::judge::Arrival { place, life, since, known: false, serves: false });
    }

    fn packed(&mut self, say: Say) {
        let (losses, all) = (self.size.losses, self.size.losses + self.size.replaced);
        let mut gone = Vec::new();
        for n in 0..all {
            let live: Vec<usize> = match n {
                3 => self.live(Role::Controller),
                _ => self.live(Role::Router),
            };
            let Some(place) = live.get(self.rand.below(live.len().max(1) as u64) as usize).copied() else {
                break;
            };
            let lost = (n + 1) * losses / all > n * losses / all;
            self.lose(place);
            if lost {
                gone.push(place);
            } else {
                self.run_for(Span::ms(100));
                self.bring(place);
            }
            self.run_for(Span::ms(self.size.pack_ms));
        }
        self.mended("after the last", Span::ms(15_000), say);
        gone.into_iter().for_each(|p| self.bring(p));
        self.mended("after the lost are back", Span::ms(15_000), say);
    }

    fn zone_lost(&mut self, say: Say) {
        let all: Vec<usize> = (0..self.nodes.len()).filter(|n| self.size.zone(*n) == 0).collect();
        all.iter().for_each(|p| self.lose(*p));
        self.mended("zone lost", Span::ms(self.size.zone_s * 1000), say);
        all.iter().for_each(|p| self.bring(*p));
        self.mended("zone back", Span::ms(20_000), say);
    }

    fn region_cut(&mut self, say: Say) {
        self.cut.insert(0);
        let most = Span::ms(self.size.cut_s * 1000);
        let began = self.now;
        let able = self.settled(most, &|w| {
            let far = |k: &usize| w.size.region(w.size.zone(*k)) != 0;
            w.live(Role::Router).iter().filter(|k| far(k)).all(|k| w.nodes[*k].is_fresh(w.now))
                && w.may_order()
        });
        let left = most.0.saturating_sub(self.now.since(began).0);
        self.run_for(Span(left));
        let cut: Vec<usize> = self.live(Role::Router);
        let stale = cut.iter().filter(|k| !self.nodes[**k].is_fresh(self.now)).count();
        let text = able.map_or("never".into(), |s| s.to_string());
        say(format!(
            "  the other regions serve and place after {text}; {stale} of {} routers refuse at the end",
            cut.len()
        ));
        say(self.core_line(began));
        self.cut.clear();
        self.mended("healed", Span::ms(60_000), say);
    }
}

pub fn run(size: Size, say: Say) -> Hollow {
    play(Hollow::new(size), say)
}

pub fn play(mut w: Hollow, say: Say) -> Hollow {
    say(page::title(&w.size));
    let mut ok = false;
    w.phase("boot", say, &mut |w, say| ok = w.boot(say));
    if ok {
        w.phase("rest", say, &mut |w, _| w.run_for(Span::ms(w.size.rest_s * 1000)));
        w.phase("changes", say, &mut |w, say| {
            for n in 0..w.size.changes {
                let from: Time = w.now;
                let text = w.size.part(n);
                w.change(OperatorCall::PatchConfig { base: None, text }, say);
                let left = (w.size.gap_s * 1_000_000).saturating_sub(w.now.since(from).0);
                w.run_for(Span(left));
            }
        });
        if w.size.losses + w.size.replaced > 0 {
            w.phase("losses and replacements", say, &mut |w, say| w.packed(say));
        }
        if w.size.zone_s > 0 {
            w.phase("a zone lost", say, &mut |w, say| w.zone_lost(say));
        }
        if w.size.cut_s > 0 {
            w.phase("a region cut", say, &mut |w, say| w.region_cut(say));
        }
    }
    say(page::ended(&w));
    w
}

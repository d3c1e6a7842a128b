use crate::fleet::config::Class;
use crate::fleet::runner::RunnerReport;
use crate::fleet::slice::ServiceSlice;
use crate::kernel::ids::Name;
use crate::kernel::time::{Span, Time};
use std::collections::BTreeMap;

const WEIGHT: f64 = 0.1;
const LOAD_WEIGHT: f64 = 0.3;
const LEFT: f64 = 0.15;
const BUCKET: Span = Span::ms(4000);

#[derive(Default, Debug)]
pub struct Rate {
    since: Time,
    now: f64,
    last: f64,
}

impl Rate {
    fn roll(&mut self, now: Time) {
        let age = now.since(self.since);
        if age < BUCKET {
            return;
        }
        self.last = if age < Span(BUCKET.0 * 2) { self.now } else { 0.0 };
        self.now = 0.0;
        self.since = now;
    }

    pub fn add(&mut self, now: Time) {
        self.roll(now);
        self.now += 1.0;
    }

    pub fn per_s(&self, now: Time) -> f64 {
        let age = now.since(self.since);
        if age >= Span(BUCKET.0 * 2) {
            return 0.0;
        }
        let part = (age.0 as f64 / BUCKET.0 as f64).min(1.0);
        let span = BUCKET.0 as f64 / 1e6;
        (self.last * (1.0 - part) + self.now) / span
    }
}

#[derive(Default, Debug)]
struct Meter {
    held: Option<f64>,
    sends: Rate,
    came: BTreeMap<Class, Rate>,
}

#[derive(Default, Debug)]
pub struct Pace {
    rows: BTreeMap<String, Meter>,
    unmet: BTreeMap<String, Time>,
    load: Option<f64>,
    pub quiet_until: Time,
}

impl Pace {
    pub fn ended(&mut self, model: &str, held: Span) {
        let row = self.rows.entry(model.to_string()).or_default();
        let new = held.0 as f64;
        row.held = Some(row.held.map_or(new, |old| old + (new - old) * WEIGHT));
    }

    pub fn came(&mut self, now: Time, model: &str, class: Class) {
        let row = self.rows.entry(model.to_string()).or_default();
        row.came.entry(class).or_default().add(now);
    }

    pub fn sent(&mut self, now: Time, model: &str) {
        self.rows.entry(model.to_string()).or_default().sends.add(now);
    }

    pub fn held(&self, model: &str) -> Option<f64> {
        self.rows.get(model)?.held
    }

    pub fn left_for(&self, now: Time, model: &str, class: Class) -> Option<f64> {
        let row = self.rows.get(model)?;
        let sends = row.sends.per_s(now);
        if sends <= 0.0 {
            return None;
        }
        let above: f64 = row.came.iter().filter(|r| *r.0 < class).map(|r| r.1.per_s(now)).sum();
        Some((sends - above).max(sends * LEFT))
    }

    pub fn wanted(&mut self, now: Time, name: &str) {
        self.unmet.entry(name.to_string()).or_insert(now);
    }

    pub fn told(&mut self, now: Time, report: &RunnerReport) {
        let met: Vec<String> =
            self.unmet.keys().filter(|n| report.holds.iter().any(|h| h.0 == **n)).cloned().collect();
        for name in met {
            let Some(since) = self.unmet.remove(&name) else { continue };
            let new = now.since(since).0 as f64;
            self.load = Some(self.load.map_or(new, |old| old + (new - old) * LOAD_WEIGHT));
        }
    }

    pub fn load_left(&self, now: Time, name: &str) -> Span {
        let whole = Span(self.load.unwrap_or(0.0) as u64);
        let gone = self.unmet.get(name).map_or(Span(0), |t| now.since(*t));
        Span(whole.0.saturating_sub(gone.0).max(gone.0 / 2))
    }

    pub fn keep(&mut self, wanted: &dyn Fn(&str) -> bool) {
        self.unmet.retain(|n, _| wanted(n));
    }

    pub fn learn(&mut self, s: &ServiceSlice) {
        self.rows.retain(|m, _| m.is_empty() || s.service.models.contains(&Name::from(m.as_str())));
    }
}
